//! The entry instance: takes jobs from callers, places them on backend servers and keeps the
//! agreed state of the fleet.

mod backend;
mod claims;
mod clock;
mod dispatch;
mod entry;
mod error;
mod http;
mod logging;
mod metrics;
mod settings;
mod store;
mod timer;

pub use entry::EntryInstance;
pub use error::{DaemonError, Result};
pub use settings::{
    DaemonSettings, LogFormat, LogLevel, PlanWeights, SETTINGS, SettingDefault, SettingKind,
    SettingProblem, SettingSpec,
};
