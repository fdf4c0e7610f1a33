use std::net::SocketAddr;

use argh::FromArgs;

/// Start a stand-in for development and tests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dev")]
pub(crate) struct DevArgs {
    #[argh(subcommand)]
    pub command: DevCommand,
}

/// The stand-ins.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum DevCommand {
    Platform(PlatformArgs),
    Backend(BackendArgs),
}

/// Start a stand-in for the platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct PlatformArgs {
    /// IP address and port to listen on
    #[argh(option)]
    pub listen: SocketAddr,
}

/// Start a stand-in for a backend server.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backend")]
pub(crate) struct BackendArgs {
    /// IP address and port to listen on
    #[argh(option)]
    pub listen: SocketAddr,
}
