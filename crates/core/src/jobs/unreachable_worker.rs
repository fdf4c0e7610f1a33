use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::TaskName;
use crate::ids::InstanceName;

/// A worker that an owner cannot reach, or that the list has dropped.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableWorker {
    /// The worker.
    pub name: InstanceName,
    /// All tasks that may run on it.
    pub tasks: Vec<TaskName>,
    /// Longest time for which they may go on. The owner does not extend the lease of a worker that
    /// it has published.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_left: Duration,
}
