use sesamedeal_adapter::{run_node, settings_path};
use snafu::{OptionExt, ResultExt};
use tokio::runtime::Builder;

use crate::error::{NoSettingsSnafu, PlatformNodeSnafu, Result};
use crate::logging::root_logger;
use crate::settings::{LogFormat, LogLevel};

/// Runs an entry instance with the settings that the users' platform provides.
///
/// One thread suffices: the platform gives an entry instance a part of one core.
///
/// # Errors
///
/// Fails when the process was not started by the platform, or its settings cannot be used.
pub fn run_on_platform() -> Result<()> {
    let path = settings_path().context(NoSettingsSnafu)?;
    let logger = root_logger(LogLevel::Info, LogFormat::Json);
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    runtime
        .block_on(run_node(&path, logger))
        .context(PlatformNodeSnafu)
}
