//! Arguments of the command line.

mod dev_args;
mod submit_args;

use argh::FromArgs;
pub(crate) use dev_args::{DevArgs, DevCommand};
pub(crate) use submit_args::SubmitArgs;

/// Fleet capacity and maintenance manager: commands for operators and callers.
#[derive(Debug, FromArgs)]
pub struct SesameArgs {
    #[argh(subcommand)]
    pub(crate) command: SesameCommand,
}

/// The commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum SesameCommand {
    Submit(SubmitArgs),
    Dev(DevArgs),
}

/// Address that an entry instance listens on by default.
pub(crate) fn default_entry() -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 8080))
}
