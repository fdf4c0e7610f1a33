//! Settings of an entry instance: one TOML file, checked as a whole.

mod daemon_settings;
mod log_settings;
mod setting_check;
mod setting_list;
mod setting_spec;

pub use daemon_settings::DaemonSettings;
pub use log_settings::{LogFormat, LogLevel};
pub use setting_check::SettingProblem;
pub use setting_list::SETTINGS;
pub use setting_spec::{SettingDefault, SettingKind, SettingSpec};
