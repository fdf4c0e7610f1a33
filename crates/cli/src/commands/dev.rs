use sesamedeal_standin::backend::BackendStandin;
use sesamedeal_standin::platform::PlatformStandin;

use crate::args::{DevArgs, DevCommand};
use crate::error::{CliError, Result};

/// Runs a stand-in until the process is interrupted.
pub(crate) async fn dev(args: DevArgs) -> Result<()> {
    let (what, handle) = match args.command {
        DevCommand::Platform(args) => ("platform", PlatformStandin::new().serve(args.listen).await),
        DevCommand::Backend(args) => ("backend", BackendStandin::new().serve(args.listen).await),
    };
    let handle = handle.map_err(|error| CliError::Start {
        what: what.to_owned(),
        reason: error.to_string(),
    })?;
    println!("{what} listens on {}", handle.address());
    tokio::signal::ctrl_c()
        .await
        .map_err(|error| CliError::Start {
            what: what.to_owned(),
            reason: error.to_string(),
        })
}
