use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Send load to entry instances on loopback and report the answers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadArgs {
    /// IP address and port of an entry instance; may be repeated
    #[argh(option)]
    pub entry: Vec<SocketAddr>,
    /// queue to submit to; may be repeated
    #[argh(option)]
    pub queue: Vec<String>,
    /// file with the team's key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// callers that each wait for their answer before the next job (default 8)
    #[argh(option, default = "8")]
    pub callers: usize,
    /// mean jobs per second of each queue; the queues surge in turn to five times their mean. Without
    /// it the callers send as fast as they are answered
    #[argh(option)]
    pub mean_rate: Option<f64>,
    /// time that a surge lasts, in seconds (default 3)
    #[argh(option, default = "3")]
    pub surge_s: u64,
    /// time for which load is sent, in seconds (default 10)
    #[argh(option, default = "10")]
    pub duration_s: u64,
    /// run time of each task, in milliseconds (default 10)
    #[argh(option, default = "10")]
    pub run_ms: u64,
    /// size of each answer, in bytes (default 100)
    #[argh(option, default = "100")]
    pub answer_bytes: usize,
    /// seed of the schedule and of the request ids (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}
