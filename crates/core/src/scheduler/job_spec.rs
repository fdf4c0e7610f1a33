use std::time::Duration;

use crate::ids::{KeyId, PoolName, RequestId, TeamName};
use crate::time::TimePoint;

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// Identifier of the request.
    pub request: RequestId,
    /// Team that the job counts against.
    pub team: TeamName,
    /// Key that came with the request; checked again at dispatch. None on an open queue.
    pub key: Option<KeyId>,
    /// Pool that runs the job.
    pub pool: PoolName,
    /// Declared processor cores.
    pub cores: u32,
    /// Declared memory in MB.
    pub memory_mb: u32,
    /// Declared run time.
    pub run: Duration,
    /// Whether the job goes first within its team.
    pub urgent: bool,
    /// Whether the job may be run more than once.
    pub idempotent: bool,
    /// Point by which the caller wants its answer.
    pub deadline: TimePoint,
}
