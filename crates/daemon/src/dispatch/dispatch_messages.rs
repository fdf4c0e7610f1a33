use std::sync::Arc;

use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::Generation;
use sesamedeal_core::scheduler::{
    AttemptKey, AttemptOutcome, DispatchOrder, JobKey, JobRefusal, JobSpec,
};
use tokio::sync::oneshot;

/// What happens to a queued job.
#[derive(Debug)]
pub(crate) enum JobEvent {
    /// Send it to a worker.
    Dispatch(DispatchOrder),
    /// Give it up.
    Refuse(JobRefusal),
}

/// Queues a job; its event comes through `events`.
#[derive(Debug)]
pub(crate) struct SubmitJob {
    pub spec: JobSpec,
    pub events: oneshot::Sender<JobEvent>,
}

/// Reports an attempt. If the job is tried again, its next event comes through `events`.
#[derive(Debug)]
pub(crate) struct FinishAttempt {
    pub job: JobKey,
    pub attempt: AttemptKey,
    pub outcome: AttemptOutcome,
    pub events: oneshot::Sender<JobEvent>,
}

/// Removes a job whose caller has gone.
#[derive(Debug)]
pub(crate) struct CancelJob {
    pub job: JobKey,
}

/// Acts under a new state of the fleet.
#[derive(Debug)]
pub(crate) struct ApplyState {
    pub state: Arc<FleetState>,
    pub settled: Generation,
}

/// Handles deadlines that have passed.
#[derive(Debug)]
pub(crate) struct DriveQueue;
