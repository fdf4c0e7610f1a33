use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::{HoldReport, StartOrder, StartOutcome, TaskName};

use super::AsyncCall;

/// Address of the worker that a call is sent to.
#[derive(Debug, Clone)]
pub struct WorkerAddress {
    /// Name of the worker.
    pub name: InstanceName,
    /// IP address and port of the worker.
    pub address: SocketAddr,
}

/// Call that extends a worker's lease and requests the worker's lists of runs.
#[derive(Debug, Clone)]
pub struct HoldRequest {
    /// The worker.
    pub worker: WorkerAddress,
    /// Epoch of the owner, used as fencing token.
    pub fence: u64,
    /// Highest sequence number of a task end that is stored.
    pub stored_end: u64,
    /// End of the lease on the worker's clock, in milliseconds; `None` if the worker's clock is not
    /// known yet.
    pub lease_end_ms: Option<u64>,
    /// Maximum time that the worker waits for a task to end before it answers.
    pub wait: Duration,
}

/// Response to a [`HoldRequest`].
#[derive(Debug, Clone)]
pub enum HoldOutcome {
    /// The lease was extended; contains the worker's lists.
    Held(HoldReport),
    /// The worker has received a higher fencing token.
    Fenced,
    /// Another worker, or another boot of the worker, answers at the address.
    Replaced,
}

/// Order to start a task.
#[derive(Debug, Clone)]
pub struct StartRequest {
    /// The worker.
    pub worker: WorkerAddress,
    /// Epoch of the owner, used as fencing token.
    pub fence: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// Task to start.
    pub order: StartOrder,
}

/// Order to stop a run.
#[derive(Debug, Clone)]
pub struct StopRequest {
    /// The worker.
    pub worker: WorkerAddress,
    /// Epoch of the owner, used as fencing token.
    pub fence: u64,
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run to stop.
    pub run: u64,
}

/// Order to change the pace of a run, which limits its use of the processor.
#[derive(Debug, Clone)]
pub struct PaceRequest {
    /// Run to change, identified by the same fields as a stop order.
    pub run: StopRequest,
    /// Share of the processor that the run may use, in percent.
    pub percent: u8,
}

/// Calls to workers. `stop` and `pace` return whether the worker accepted the order; false means
/// that the worker has received a higher fencing token.
#[derive(Clone)]
pub struct WorkerPort {
    /// Extends the lease and returns the worker's lists.
    pub hold: AsyncCall<HoldRequest, HoldOutcome>,
    /// Starts a task.
    pub start: AsyncCall<StartRequest, StartOutcome>,
    /// Stops a run.
    pub stop: AsyncCall<StopRequest, bool>,
    /// Changes the pace of a run.
    pub pace: AsyncCall<PaceRequest, bool>,
}

impl fmt::Debug for WorkerPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkerPort").finish_non_exhaustive()
    }
}
