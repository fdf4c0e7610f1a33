use std::time::Duration;

use super::TaskName;
use crate::ids::InstanceName;

/// How the dispatcher knows that a run has ended without a report of its end.
///
/// The variant names are label values of the metric `sesamedeal_lost_runs_total`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// The worker was started again after a list showed the run.
    Restarted,
    /// Another worker was started on the instance of the worker.
    Replaced,
    /// The lease of a worker that does not answer has expired.
    Expired,
    /// The worker no longer lists the run.
    Absent,
}

/// Run that has ended without a report of its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// Task of the run.
    pub task: TaskName,
    /// Number of the run.
    pub run: u64,
    /// Worker of the run.
    pub worker: InstanceName,
    /// How the end is known.
    pub reason: LossReason,
    /// Boot of the worker at its last answer before the loss, if there was one.
    pub boot: Option<u64>,
    /// Whether a list of the worker has shown the run.
    pub was_listed: bool,
    /// Time since the run was ordered, confirmed or adopted.
    pub age: Duration,
    /// Number of runs that were lost with the worker, this one included.
    pub lost_together: usize,
}
