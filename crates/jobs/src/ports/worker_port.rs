use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::{HoldReport, StartOrder, StartOutcome, TaskName};

use super::AsyncCall;

/// Worker that a call is meant for.
#[derive(Debug, Clone)]
pub struct WorkerAddress {
    /// Its name.
    pub name: InstanceName,
    /// Its IP address and port.
    pub address: SocketAddr,
}

/// Call that extends a worker's lease and asks for its lists.
#[derive(Debug, Clone)]
pub struct HoldRequest {
    /// The worker.
    pub worker: WorkerAddress,
    /// Epoch of the owner.
    pub fence: u64,
    /// Highest end that is stored.
    pub stored_end: u64,
    /// End of the lease on the worker's clock, in milliseconds; none if that is not known yet.
    pub lease_end_ms: Option<u64>,
    /// Longest time that the worker waits for an end.
    pub wait: Duration,
}

/// Answer to a [`HoldRequest`].
#[derive(Debug, Clone)]
pub enum HoldOutcome {
    /// The lists.
    Held(HoldReport),
    /// The worker has seen a higher fence number.
    Fenced,
    /// Another worker or boot answers at the address.
    Replaced,
}

/// Order to start a task.
#[derive(Debug, Clone)]
pub struct StartRequest {
    /// The worker.
    pub worker: WorkerAddress,
    /// Epoch of the owner.
    pub fence: u64,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end_ms: u64,
    /// The task.
    pub order: StartOrder,
}

/// Order to stop a run.
#[derive(Debug, Clone)]
pub struct StopRequest {
    /// The worker.
    pub worker: WorkerAddress,
    /// Epoch of the owner.
    pub fence: u64,
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u64,
}

/// Order to change the pace of a run.
#[derive(Debug, Clone)]
pub struct PaceRequest {
    /// The run.
    pub run: StopRequest,
    /// Share of the processor that it may use, in percent.
    pub percent: u8,
}

/// Calls to workers. A stop returns whether the worker accepted it; false means that it has seen a
/// higher fence number.
#[derive(Clone)]
pub struct WorkerPort {
    /// Extends the lease and returns the lists.
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
