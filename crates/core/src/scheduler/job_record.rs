use std::time::Duration;

use super::{FlowIndex, JobKey, KeyIndex, PoolIndex, TeamIndex, WorkerIndex};
use crate::ids::Generation;
use crate::placement::JobRequirements;
use crate::queue::JobLinks;
use crate::time::TimePoint;

/// A job that has no final answer yet.
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
    /// Whether the caller has gone while an attempt runs.
    pub(crate) abandoned: bool,
    /// Whether a running task was asked to stop in favour of this job.
    pub(crate) preempted: bool,
    pub(crate) links: JobLinks,
    /// Workers that the job was tried on before.
    pub(crate) tried: Vec<WorkerIndex>,
    /// Workers with good records on which the job failed.
    pub(crate) failed_on: Vec<WorkerIndex>,
}

/// One attempt, until its units are released and its outcome is known.
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
    /// Whether units are held.
    pub(crate) holds: bool,
    /// Whether the outcome was reported.
    pub(crate) finished: bool,
    /// Whether the backend server was asked to stop the task.
    pub(crate) stopping: bool,
    /// First generation that drains or removes the worker.
    pub(crate) against: Option<Generation>,
}
