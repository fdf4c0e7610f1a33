use super::JobId;
use crate::time::TimePoint;

/// Failures that are remembered for the evidence against a worker.
const REMEMBERED_FAILURES: usize = 8;

/// Evidence that a worker fails or hangs what it runs although it reports itself healthy.
///
/// Failures count by distinct jobs, so that one job that can never be done does not condemn the
/// workers that try it.
#[derive(Debug, Clone, Default)]
pub struct HealthRecord {
    failed_jobs: Vec<JobId>,
    quarantined_until: Option<TimePoint>,
    /// Consecutive times that the worker was left out.
    quarantines: u32,
}

impl HealthRecord {
    /// Notes a run that was done.
    pub fn note_done(&mut self) {
        self.failed_jobs.clear();
        self.quarantines = 0;
        self.quarantined_until = None;
    }

    /// Notes a failure of a run of `job`; true once `limit` distinct jobs failed in a row.
    pub fn note_failure(&mut self, job: JobId, limit: u32) -> bool {
        if !self.failed_jobs.contains(&job) && self.failed_jobs.len() < REMEMBERED_FAILURES {
            self.failed_jobs.push(job);
        }
        let needed = if self.quarantines > 0 { 1 } else { limit };
        self.failed_jobs.len() >= usize::try_from(needed).unwrap_or(usize::MAX)
    }

    /// Leaves the worker out for `base`, twice as long after each trial that failed.
    pub fn quarantine(&mut self, now: TimePoint, base: std::time::Duration) {
        const MAX_DOUBLINGS: u32 = 3;
        let delay = base * 2_u32.pow(self.quarantines.min(MAX_DOUBLINGS));
        self.quarantined_until = Some(now.after(delay));
        self.quarantines += 1;
        self.failed_jobs.clear();
    }

    /// Whether the worker takes no new tasks.
    #[must_use]
    pub fn is_quarantined(&self, now: TimePoint) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Whether the worker is on trial after it was left out.
    #[must_use]
    pub const fn is_on_trial(&self) -> bool {
        self.quarantines > 0
    }
}
