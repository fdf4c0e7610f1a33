use serde::{Deserialize, Serialize};

use crate::ids::PoolName;

/// Settings of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueRecord {
    /// Pool that runs the queue's jobs.
    pub pool: PoolName,
    /// Whether the queue is open to all callers. Its jobs then count against the team `open`.
    pub open: bool,
}
