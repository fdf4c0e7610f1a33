use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::Generation;
use sesamedeal_core::scheduler::{AttemptKey, AttemptOutcome, DispatchOrder, JobKey, JobRefusal};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// An order to send a job, with the times that bound the attempt.
#[derive(Debug)]
pub(crate) struct DispatchTicket {
    pub order: DispatchOrder,
    /// Unix time in milliseconds by which the backend server has to start the attempt.
    pub start_by_ms: u64,
    /// Point after which the attempt must not be sent any more.
    pub send_by: Instant,
    /// Longest time that the attempt may run once it has started. The units are held for the
    /// lease from the dispatch on, which includes the time until the start.
    pub run_limit: Duration,
    /// Point by which the attempt has ended in any case: its lease and the margins have passed.
    pub ends_by: Instant,
}

/// What happens to a queued job.
#[derive(Debug)]
pub(crate) enum JobEvent {
    /// Send it to a worker.
    Dispatch(DispatchTicket),
    /// Give it up.
    Refuse(JobRefusal),
}

/// Where a job stands after it was queued.
#[derive(Debug)]
pub(crate) enum NextEvent {
    /// Its event is known already.
    Now(JobEvent),
    /// Its event will come through the channel.
    Later(oneshot::Receiver<JobEvent>),
}

/// Reports an attempt.
#[derive(Debug)]
pub(crate) struct FinishAttempt {
    pub job: JobKey,
    pub attempt: AttemptKey,
    pub outcome: AttemptOutcome,
    /// Whether the job may be tried again. An answer that has been passed on in part may not.
    pub may_retry: bool,
}

/// What becomes of a job after an attempt.
#[derive(Debug)]
pub(crate) enum FinishReply {
    /// The backend server's answer goes to the caller.
    Answer,
    /// The job is queued again.
    Retry(NextEvent),
    /// The caller gets the refusal.
    Refuse(JobRefusal),
}

/// Acts under a new state of the fleet.
#[derive(Debug)]
pub(crate) struct ApplyState {
    pub state: Arc<FleetState>,
    pub settled: Generation,
}

/// Takes no further jobs, ahead of a shutdown.
#[derive(Debug)]
pub(crate) struct StopTaking;

/// Hands all units over to peers, after the last job has ended.
#[derive(Debug)]
pub(crate) struct HandOverUnits;
