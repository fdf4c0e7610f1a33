use std::time::Duration;

use super::TaskName;
use crate::ids::InstanceName;

/// Worker that is kept free for a waiting task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReservedWorker {
    /// Task that waits.
    pub task: TaskName,
    /// Worker that is kept free.
    pub worker: InstanceName,
    /// Time until the worker is expected to have room. Shorter tasks still start there.
    pub wait: Duration,
    /// Whether an earlier reservation for the task has lapsed.
    pub has_lapsed: bool,
}
