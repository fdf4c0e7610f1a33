use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use super::SurgeShape;
use crate::backend::TaskScript;

/// When requests are sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadMode {
    /// Each of many callers waits for its answer before it sends the next request.
    Closed {
        /// Number of callers.
        callers: usize,
    },
    /// Requests are sent at their times, whether or not earlier ones were answered.
    Open {
        /// Rate of the requests; its queues are those of the settings.
        shape: SurgeShape,
        /// Requests under way at once; further ones are skipped and counted.
        max_in_flight: usize,
    },
}

/// Settings of one run of load. Runs for several teams are started side by side.
#[derive(Debug, Clone)]
pub struct LoadSettings {
    /// Addresses that callers are spread over, in turn. Loopback only.
    pub targets: Vec<SocketAddr>,
    /// Queues that callers are spread over, in turn.
    pub queues: Vec<CompactString>,
    /// Value of the `authorization` header, if any.
    pub authorization: Option<CompactString>,
    /// Further request headers.
    pub headers: Vec<(CompactString, CompactString)>,
    /// When requests are sent.
    pub mode: LoadMode,
    /// Most requests sent.
    pub max_requests: u64,
    /// Time after which no more requests are sent.
    pub duration: Duration,
    /// Time after which a caller gives up and closes its connection. A short time makes a wave of
    /// cancellations.
    pub timeout: Duration,
    /// What each task does; its `echo` is replaced by the request's id.
    pub script: TaskScript,
    /// Whether the jobs are idempotent. The others carry an idempotency key and a run-once id.
    pub idempotent: bool,
    /// Whether a caller waits as long as `retry-after` says.
    pub heed_retry_after: bool,
    /// Whether answers must carry result codes; a plain pass-through sends none.
    pub expect_codes: bool,
    /// Seed of the schedule, and prefix of the request ids.
    pub seed: u64,
}

impl LoadSettings {
    /// Creates settings of 8 callers with short idempotent tasks for at most 10 s.
    #[must_use]
    pub fn new(targets: Vec<SocketAddr>, queue: &str) -> Self {
        Self {
            targets,
            queues: vec![queue.into()],
            authorization: None,
            headers: Vec::new(),
            mode: LoadMode::Closed { callers: 8 },
            max_requests: 100_000,
            duration: Duration::from_secs(10),
            timeout: Duration::from_secs(40),
            script: TaskScript::default(),
            idempotent: true,
            heed_retry_after: true,
            expect_codes: true,
            seed: 1,
        }
    }
}
