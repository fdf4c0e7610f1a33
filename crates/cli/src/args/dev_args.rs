use std::net::SocketAddr;

use argh::FromArgs;

/// Start and steer stand-ins for development and tests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dev")]
pub(crate) struct DevArgs {
    #[argh(subcommand)]
    pub command: DevCommand,
}

/// The commands of `dev`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum DevCommand {
    Platform(PlatformArgs),
    Backend(BackendArgs),
    ListEntry(ListEntryArgs),
    Faults(FaultsArgs),
    Violations(ViolationsArgs),
}

/// Start a stand-in for the platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub(crate) struct PlatformArgs {
    /// IP address and port to listen on
    #[argh(option)]
    pub listen: SocketAddr,
    /// time by which the instance list lags, in milliseconds
    #[argh(option)]
    pub list_lag_ms: Option<u64>,
    /// time that a reboot takes, in milliseconds
    #[argh(option)]
    pub reboot_ms: Option<u64>,
}

/// Start a stand-in for a backend server.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "backend")]
pub(crate) struct BackendArgs {
    /// IP address and port to listen on
    #[argh(option)]
    pub listen: SocketAddr,
    /// platform stand-in to register with
    #[argh(option)]
    pub platform: Option<SocketAddr>,
    /// name of the instance (default worker-1)
    #[argh(option, default = "String::from(\"worker-1\")")]
    pub name: String,
    /// availability zone (default zone-0)
    #[argh(option, default = "String::from(\"zone-0\")")]
    pub zone: String,
    /// rack (default zone-0-rack-0)
    #[argh(option, default = "String::from(\"zone-0-rack-0\")")]
    pub rack: String,
}

/// Put an entry instance on the platform stand-in's list, as the platform does when it starts one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list-entry")]
pub(crate) struct ListEntryArgs {
    /// platform stand-in
    #[argh(option)]
    pub platform: SocketAddr,
    /// address of the entry instance
    #[argh(option)]
    pub entry: SocketAddr,
    /// availability zone (default zone-0)
    #[argh(option, default = "String::from(\"zone-0\")")]
    pub zone: String,
}

/// Switch the faults of the platform stand-in. What is not given is off.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "faults")]
pub(crate) struct FaultsArgs {
    /// platform stand-in
    #[argh(option)]
    pub platform: SocketAddr,
    /// answer every call with status 503
    #[argh(switch)]
    pub down: bool,
    /// delay before each call takes effect, in milliseconds
    #[argh(option, default = "0")]
    pub delay_ms: u64,
    /// let writes take effect and lose their answers
    #[argh(switch)]
    pub lose_answers: bool,
}

/// Print what the stand-ins have seen of broken promises.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "violations")]
pub(crate) struct ViolationsArgs {
    /// platform stand-in
    #[argh(option)]
    pub platform: SocketAddr,
}
