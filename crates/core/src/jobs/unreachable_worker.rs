use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::TaskName;
use crate::ids::InstanceName;

/// Worker that the owner cannot reach or that the platform no longer lists, as published for the
/// next owner.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreachableWorker {
    /// Name of the worker.
    pub name: InstanceName,
    /// All tasks that may be running on the worker.
    pub tasks: Vec<TaskName>,
    /// Maximum time for which the tasks may continue to run. The owner does not extend the lease of
    /// a worker that it has published.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_left: Duration,
}
