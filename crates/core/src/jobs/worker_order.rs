use compact_str::CompactString;

use super::{TaskName, WorkerKey};

/// Order to start a task.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// Task to start.
    pub task: TaskName,
    /// Number of the run.
    pub run: u64,
    /// Specification of the job.
    pub spec: CompactString,
    /// Progress to resume from; empty if there is none.
    pub saved: CompactString,
    /// Ticket from the queue's policy service, if the queue needs one.
    pub ticket: Option<CompactString>,
}

/// Order to a worker.
#[derive(Debug, Clone)]
pub enum WorkerOrder {
    /// Starts a run of a task.
    Start(WorkerKey, StartOrder),
    /// Stops the run of a task with the given number.
    Stop(WorkerKey, TaskName, u64),
    /// Sets the share of its CPU that the run of a task may use, in percent.
    Pace(WorkerKey, TaskName, u64, u8),
}

/// Answer to a start order. The variant names are label values of the metric
/// `sesamedeal_task_starts_total`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run exists.
    Started,
    /// The worker has seen a higher fencing number.
    Fenced,
    /// The worker refused the order, and the run will not start.
    Refused,
    /// The worker refused the order because its ticket is missing or no longer valid.
    TicketRefused,
    /// The worker is unhealthy or not the expected one, and did not start the run.
    Unavailable,
    /// The order was not answered. The run may exist already or start later.
    Unknown,
}
