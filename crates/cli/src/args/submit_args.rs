use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Submit a job and print its answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct SubmitArgs {
    /// IP address and port of an entry instance
    #[argh(option, default = "crate::args::default_entry()")]
    pub entry: SocketAddr,
    /// queue to submit to
    #[argh(option)]
    pub queue: String,
    /// file with the team's key; not needed on open queues
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// declared processor cores
    #[argh(option)]
    pub cores: Option<u32>,
    /// declared memory in MB
    #[argh(option)]
    pub memory_mb: Option<u32>,
    /// declared run time in milliseconds
    #[argh(option)]
    pub run_ms: Option<u64>,
    /// time to wait for the answer, in milliseconds
    #[argh(option)]
    pub deadline_ms: Option<u64>,
    /// put the job before the team's other jobs
    #[argh(switch)]
    pub urgent: bool,
    /// the job may be run more than once
    #[argh(switch)]
    pub idempotent: bool,
    /// key under which the job is run at most once
    #[argh(option)]
    pub idempotency_key: Option<String>,
    /// body of the job
    #[argh(positional)]
    pub body: String,
}
