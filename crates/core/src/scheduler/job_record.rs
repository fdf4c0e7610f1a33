use std::time::Duration;

use super::{FlowIndex, JobKey, KeyIndex, PoolIndex, TeamIndex, WorkerIndex};
use crate::ids::Generation;
use crate::placement::JobRequirements;
use crate::queue::JobLinks;
use crate::time::TimePoint;

/// Job that has no final answer yet.
#[derive(Debug)]
pub(crate) struct JobRecord {
    pub(crate) flow: FlowIndex,
    pub(crate) key: Option<KeyIndex>,
    pub(crate) requirements: JobRequirements,
    pub(crate) run: Duration,
    pub(crate) urgent: bool,
    pub(crate) deadline: TimePoint,
    pub(crate) submitted: TimePoint,
    pub(crate) queued: bool,
    /// Whether the job waits outside the order of its queue, because it fits only on workers in
    /// evacuated zones.
    pub(crate) parked: bool,
    /// Whether the caller cancelled the job while an attempt was running.
    pub(crate) abandoned: bool,
    /// Whether a running task was preempted for this job.
    pub(crate) has_preempted: bool,
    pub(crate) links: JobLinks,
    /// Workers that are excluded from retries of the job.
    pub(crate) tried: Vec<WorkerIndex>,
    /// Workers with good records on which the job failed.
    pub(crate) failed_on: Vec<WorkerIndex>,
}

/// Attempt to run a job, kept until its units are released and its outcome is known.
#[derive(Debug)]
pub(crate) struct AttemptRecord {
    pub(crate) job: JobKey,
    pub(crate) worker: WorkerIndex,
    pub(crate) pool: PoolIndex,
    pub(crate) team: TeamIndex,
    pub(crate) flow: FlowIndex,
    pub(crate) slots: u32,
    pub(crate) started: TimePoint,
    pub(crate) idempotent: bool,
    /// Whether the attempt still holds its units.
    pub(crate) holds_units: bool,
    /// Whether the outcome was reported.
    pub(crate) finished: bool,
    /// Whether a request to stop the task was issued.
    pub(crate) stopping: bool,
    /// First generation that drains, moves or removes the worker, or that may have done so.
    pub(crate) conflicts_with: Option<Generation>,
}
