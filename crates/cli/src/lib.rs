//! Commands of `sesamedeal` for operators and callers.

mod advice;
mod args;
mod commands;
mod demo;
mod entry_client;
mod error;
pub mod measure;
mod operator_client;
mod output;

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
        SesameCommand::Config(args) => commands::config(args).await,
        SesameCommand::Demo(args) => commands::demo(args).await,
        SesameCommand::Dev(args) => commands::dev(args).await,
        SesameCommand::Instance(args) => commands::instance(args).await,
        SesameCommand::Key(args) => commands::key(args).await,
        SesameCommand::Limit(args) => commands::limit(args).await,
        SesameCommand::Load(args) => commands::load(args).await,
        SesameCommand::Maintenance(args) => commands::maintenance(args).await,
        SesameCommand::Measure(args) => commands::measure(&args).await,
        SesameCommand::Pool(args) => commands::pool(args).await,
        SesameCommand::Sheet(args) => commands::sheet(args).await,
        SesameCommand::Status(args) => commands::status(args).await,
        SesameCommand::Submit(args) => commands::submit(args).await,
        SesameCommand::Zone(args) => commands::zone(args).await,
    }
}
