use super::{
    AttemptKey, AttemptOutcome, FinishOutcome, JobKey, JobRefusal, JobScheduler, WorkerIndex,
};
use crate::code::ResultCode;
use crate::retry::RetryReason;
use crate::time::TimePoint;

/// Number of workers with good records on which a job must fail to be classified as one that can
/// never run.
const FAILED_WORKERS: usize = 3;

impl JobScheduler {
    /// Records the outcome of an attempt and decides whether its job is answered, retried or
    /// refused.
    pub fn finish(
        &mut self,
        key: AttemptKey,
        outcome: AttemptOutcome,
        now: TimePoint,
    ) -> FinishOutcome {
        let unknown = FinishOutcome::Refuse(JobRefusal::new(ResultCode::OutcomeUnknown));
        let Some(attempt) = self
            .attempts
            .get_mut(key)
            .filter(|attempt| !attempt.finished)
        else {
            return unknown;
        };
        attempt.finished = true;
        let (job, worker, holds) = (attempt.job, attempt.worker, attempt.holds_units);
        let (team, started) = (attempt.team, attempt.started);
        if outcome == AttemptOutcome::Answered
            && let Some(record) = self.jobs.get(job)
        {
            let correction = &mut self.fleet.teams[team.at()].correction;
            correction.record(record.run, now.since(started));
        }
        if outcome == AttemptOutcome::Draining {
            self.mark_worker_leaving(worker, now);
        }
        self.record_health(worker, job, outcome, now);
        // After a lost or bad answer the task may still run, so its units stay in use.
        let ended = !matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::BadAnswer);
        if ended && holds {
            self.release(key, now);
        } else {
            self.refresh_worker(worker, now);
            if !holds {
                self.attempts.remove(key);
            }
        }
        let result = self.decide_outcome(job, worker, outcome, now);
        if result != FinishOutcome::Retry {
            self.jobs.remove(job);
        }
        result
    }

    fn decide_outcome(
        &mut self,
        key: JobKey,
        worker: WorkerIndex,
        outcome: AttemptOutcome,
        now: TimePoint,
    ) -> FinishOutcome {
        let refuse = |code| FinishOutcome::Refuse(JobRefusal::new(code));
        let Some(job) = self.jobs.get(key) else {
            return refuse(ResultCode::OutcomeUnknown);
        };
        if job.failed_on.len() >= FAILED_WORKERS {
            self.retract_failures(key, worker, now);
            return refuse(ResultCode::CannotRun);
        }
        let Some(reason) = outcome.retry_reason() else {
            return FinishOutcome::Answer;
        };
        let never_ran = matches!(
            reason,
            RetryReason::NotStarted | RetryReason::NotSent | RetryReason::Draining
        );
        let may_retry = never_ran || job.requirements.idempotent;
        let last = match reason {
            RetryReason::Failed => FinishOutcome::Answer,
            RetryReason::NotStarted | RetryReason::NotSent | RetryReason::Draining => {
                refuse(ResultCode::NoWorker)
            }
            RetryReason::Lost => refuse(ResultCode::OutcomeUnknown),
            RetryReason::BadAnswer => refuse(ResultCode::BadAnswer),
            RetryReason::Preempted => refuse(ResultCode::Stopped),
        };
        if may_retry && self.requeue(key, worker, reason, now) {
            FinishOutcome::Retry
        } else {
            last
        }
    }

    /// Queues a job again for another worker if its caller still waits, another worker of the pool
    /// can run it and the retry budget allows it. Returns whether it did.
    ///
    /// A job that fits only on workers in evacuated zones waits for them, as a new one does. After a
    /// run, the outcome that is known is better than a wait that may be in vain.
    fn requeue(
        &mut self,
        key: JobKey,
        worker: WorkerIndex,
        reason: RetryReason,
        now: TimePoint,
    ) -> bool {
        let job = &mut self.jobs[key];
        // Preemption and an unsent request are no failures of the worker, which may be the only one
        // that fits.
        if !matches!(reason, RetryReason::Preempted | RetryReason::NotSent) {
            job.tried.push(worker);
        }
        if job.abandoned || job.deadline <= now || self.is_shutting_down {
            return false;
        }
        let job = &self.jobs[key];
        let pool = &self.fleet.pools[self.flows[job.flow.at()].pool.at()];
        let has_run = matches!(
            reason,
            RetryReason::Failed | RetryReason::Lost | RetryReason::BadAnswer
        );
        let waits = !has_run && pool.fits_only_evacuated(job.requirements);
        let other = pool.workers.iter().any(|worker| {
            let record = &self.fleet.workers[worker.at()];
            !job.tried.contains(worker)
                && record.active
                && (waits || !record.zone_evacuated)
                && record.leaving.is_none()
                && record.slots_for(job.requirements).is_some()
        });
        if !other || !self.retry.spend(reason) {
            return false;
        }
        self.enqueue(key, true, now);
        true
    }
}
