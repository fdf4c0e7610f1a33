use std::time::Duration;

use crate::ids::{KeyId, PoolName, RequestId, TeamName};
use crate::time::TimePoint;

/// Job as submitted by a caller.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// Identifier of the request.
    pub request: RequestId,
    /// Team that the job counts against.
    pub team: TeamName,
    /// Key sent with the request; checked again at dispatch. `None` on an open queue.
    pub key: Option<KeyId>,
    /// Pool that runs the job.
    pub pool: PoolName,
    /// Declared processor cores.
    pub cores: u32,
    /// Declared memory in MB.
    pub memory_mb: u32,
    /// Declared run time.
    pub run: Duration,
    /// Whether the job runs before the other jobs of its team.
    pub urgent: bool,
    /// Whether the job can safely run more than once.
    pub idempotent: bool,
    /// Time by which the caller needs the answer.
    pub deadline: TimePoint,
}
