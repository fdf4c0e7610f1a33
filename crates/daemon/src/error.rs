use std::net::SocketAddr;
use std::path::PathBuf;

use snafu::Snafu;

use crate::settings::SettingProblem;

/// Reason why the entry instance cannot run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DaemonError {
    /// The settings file cannot be read.
    #[snafu(display("cannot read settings file {}: {source}", path.display()))]
    ReadSettings {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings file has an error.
    #[snafu(display("settings file {}: {source}", path.display()))]
    ParseSettings {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with line and column.
        source: toml::de::Error,
    },
    /// The settings file has values that are not allowed.
    #[snafu(display(
        "settings file {} has {} errors:{}",
        path.display(),
        problems.len(),
        list(problems)
    ))]
    InvalidSettings {
        /// Path of the file.
        path: PathBuf,
        /// All errors of the file.
        problems: Vec<SettingProblem>,
    },
    /// The listening address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A call to another entry instance failed.
    #[snafu(display("no answer from the entry instance at {address}: {reason}"))]
    PeerCall {
        /// Its address.
        address: String,
        /// What failed.
        reason: String,
    },
    /// A message from or to another entry instance cannot be used.
    #[snafu(display("message of the entry instance at {address}: {source}"))]
    PeerMessage {
        /// Its address.
        address: String,
        /// Error of the codec.
        source: sesamedeal_wire::codec::CodecError,
    },
    /// No settings are given.
    #[snafu(display("no settings: use --settings, or start the process on the platform"))]
    NoSettings,
    /// The entry instance cannot run on the users' platform.
    #[snafu(display("{source}"))]
    PlatformNode {
        /// What is wrong.
        source: sesamedeal_adapter::NodeError,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot receive signals: {source}"))]
    Signal {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of the daemon's functions.
pub type Result<T> = std::result::Result<T, DaemonError>;

fn list(problems: &[SettingProblem]) -> String {
    problems
        .iter()
        .map(|problem| format!("\n  {problem}"))
        .collect()
}
