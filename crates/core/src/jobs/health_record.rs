use super::JobId;
use crate::time::TimePoint;

/// Maximum number of failed jobs that are remembered per worker.
const REMEMBERED_FAILURES: usize = 8;

/// Failure history of a worker, to detect one that fails or stalls tasks although it reports itself
/// healthy.
///
/// Only failures of distinct jobs count, so that a job that can never succeed does not quarantine
/// every worker that tries it.
#[derive(Debug, Clone, Default)]
pub struct HealthRecord {
    failed_jobs: Vec<JobId>,
    quarantined_until: Option<TimePoint>,
    /// Quarantines since the last successful run, or the last progress of a long-running task.
    quarantines: u32,
}

impl HealthRecord {
    /// Records a successful run and ends the trial.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.quarantines = 0;
        self.quarantined_until = None;
    }

    /// Records a long-running task that has been at work for a while. Earlier failures no longer
    /// count, but a quarantine goes on.
    pub fn record_progress(&mut self) {
        self.failed_jobs.clear();
        self.quarantines = 0;
    }

    /// Records a failed run of `job` and returns whether the worker should be quarantined: `limit`
    /// distinct jobs have failed in a row, or one has failed during a trial.
    pub fn record_failure(&mut self, job: JobId, limit: u32) -> bool {
        if !self.failed_jobs.contains(&job) && self.failed_jobs.len() < REMEMBERED_FAILURES {
            self.failed_jobs.push(job);
        }
        let needed = if self.quarantines > 0 { 1 } else { limit };
        self.failed_jobs.len() >= usize::try_from(needed).unwrap_or(usize::MAX)
    }

    /// Quarantines the worker for `base`, doubled for each failed trial up to a factor of eight. Does
    /// nothing during a quarantine: what fails then was sent before it and is no trial.
    pub fn quarantine(&mut self, now: TimePoint, base: std::time::Duration) {
        if self.is_quarantined(now) {
            return;
        }
        const MAX_DOUBLINGS: u32 = 3;
        let delay = base * 2_u32.pow(self.quarantines.min(MAX_DOUBLINGS));
        self.quarantined_until = Some(now.after(delay));
        self.quarantines += 1;
        self.failed_jobs.clear();
    }

    /// Whether the worker is in quarantine and gets no new tasks.
    #[must_use]
    pub fn is_quarantined(&self, now: TimePoint) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Whether the worker has been quarantined since its last successful run.
    #[must_use]
    pub const fn is_on_trial(&self) -> bool {
        self.quarantines > 0
    }
}
