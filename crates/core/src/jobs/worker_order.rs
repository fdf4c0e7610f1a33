use compact_str::CompactString;

use super::{TaskName, WorkerKey};

/// Order to start a task.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u64,
    /// Text of the job.
    pub spec: CompactString,
    /// Progress to resume from; empty if there is none.
    pub saved: CompactString,
    /// Ticket of the queue's policy service.
    pub ticket: Option<CompactString>,
}

/// Order to a worker.
#[derive(Debug, Clone)]
pub enum WorkerOrder {
    /// Starts a task.
    Start(WorkerKey, StartOrder),
    /// Stops a run.
    Stop(WorkerKey, TaskName, u64),
    /// Sets the share of its processor that a run may use, in percent.
    Pace(WorkerKey, TaskName, u64, u8),
}

/// Answer to a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// The worker has seen a higher fence number.
    Fenced,
    /// The worker refused, and the run will not begin.
    Refused,
    /// The worker is unhealthy or another one, and has done nothing.
    Unavailable,
    /// No answer: the run may be there, or begin later.
    Unknown,
}
