//! Commands of `sesamedeal` for operators and callers.

mod args;
mod commands;
mod entry_client;
mod error;

pub use args::SesameArgs;
pub use error::{CliError, Result};

use args::SesameCommand;

/// Runs the command that the arguments name.
///
/// # Errors
///
/// Returns the reason why the command failed; [`CliError::exit_code`] gives the exit code.
pub async fn run(args: SesameArgs) -> Result<()> {
    match args.command {
        SesameCommand::Submit(args) => commands::submit(args).await,
        SesameCommand::Dev(args) => commands::dev(args).await,
    }
}
