use std::sync::Arc;

use parking_lot::{Mutex, MutexGuard};
use sesamedeal_core::scheduler::{
    AttemptOutcome, FinishOutcome, JobKey, JobRefusal, JobScheduler, JobSpec,
};

use super::dispatch_core::{DispatchCore, DispatchParts, JobEntry};
use super::dispatch_messages::{FinishAttempt, FinishReply, NextEvent};

/// Jobs removed at once when callers have gone. Other work is done between two batches.
const CANCEL_BATCH: usize = 256;

/// Access of the tasks of callers to the scheduler.
///
/// A decision takes a few microseconds. Taking it under a lock in the caller's own task saves the
/// two changes of task that a message and its answer cost. Messages of the control loops go
/// through `DispatchActor`.
#[derive(Debug, Clone)]
pub(crate) struct DispatchDesk {
    core: Arc<Mutex<DispatchCore>>,
}

impl DispatchDesk {
    pub(crate) fn new(scheduler: JobScheduler, parts: DispatchParts) -> Self {
        let core = Arc::new_cyclic(|desk| {
            let desk = std::sync::Weak::clone(desk);
            Mutex::new(DispatchCore::new(scheduler, parts, desk))
        });
        Self { core }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DispatchCore> {
        self.core.lock()
    }

    /// Queues a job.
    pub(super) fn submit(&self, spec: JobSpec) -> Result<(JobKey, NextEvent), JobRefusal> {
        let mut core = self.lock();
        let now = core.parts.clock.now();
        let job = core.scheduler.submit(spec, now)?;
        let entry = JobEntry {
            events: None,
            early: None,
            attempt: None,
        };
        core.jobs.insert(job, entry);
        core.drive();
        Ok((job, core.next_event(job)))
    }

    /// Takes note of how an attempt went and decides what becomes of its job.
    pub(super) fn finish(&self, message: &FinishAttempt) -> FinishReply {
        let FinishAttempt {
            job,
            attempt,
            outcome,
            may_retry,
        } = *message;
        let mut core = self.lock();
        let now = core.parts.clock.now();
        let finish = core.scheduler.finish(attempt, outcome, now);
        match outcome {
            AttemptOutcome::Lost | AttemptOutcome::BadAnswer => core.confirm_end(attempt),
            _ => core.forget(attempt),
        }
        if let Some(entry) = core.jobs.get_mut(job) {
            entry.attempt = None;
        }
        let reply = match finish {
            FinishOutcome::Retry if may_retry => {
                if let Some(reason) = outcome.retry_reason() {
                    core.parts.metrics.count_retry(reason);
                }
                core.drive();
                return FinishReply::Retry(core.next_event(job));
            }
            FinishOutcome::Retry => {
                core.scheduler.cancel(job, now);
                FinishReply::Answer
            }
            FinishOutcome::Answer => FinishReply::Answer,
            FinishOutcome::Refuse(refusal) => FinishReply::Refuse(refusal),
        };
        core.jobs.remove(job);
        core.drive();
        reply
    }

    /// Removes a batch of the jobs whose callers have gone; returns whether more are left.
    pub(crate) fn cancel_batch(&self) -> bool {
        let mut core = self.lock();
        for job in core.parts.cancels.take(CANCEL_BATCH) {
            core.parts.metrics.count_cancelled();
            core.cancel(job);
        }
        core.drive();
        !core.parts.cancels.is_empty()
    }

    /// Takes note of a tick of the timer and handles deadlines that have passed.
    pub(crate) fn tick(&self) {
        let mut core = self.lock();
        core.tick();
        core.drive();
    }
}
