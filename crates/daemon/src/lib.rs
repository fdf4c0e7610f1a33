//! The entry instance: takes jobs from callers, places them on backend servers and keeps the
//! agreed state of the fleet.

mod admin;
mod backend;
mod claims;
mod clock;
mod control;
mod control_traffic;
mod dispatch;
mod entry;
mod entry_context;
mod entry_shutdown;
mod error;
mod http;
mod logging;
mod metrics;
mod peer;
mod platform_mode;
mod session;
mod settings;
mod store;
mod timer;

pub use control_traffic::ControlTraffic;
pub use entry::EntryInstance;
pub use error::{DaemonError, Result};
pub use platform_mode::run_on_platform;
pub use settings::{
    DaemonSettings, LogFormat, LogLevel, SETTINGS, SettingDefault, SettingKind, SettingProblem,
    SettingSpec,
};
