use std::time::Duration;

use crate::scheduler::JobKey;
use crate::time::TimePoint;

/// Number of recent tasks whose outcomes are kept for each worker.
const HISTORY_TASKS: u32 = 20;

/// Distinct failed jobs after which a worker is quarantined.
const QUARANTINE_JOBS: usize = 3;

/// Time from the start of a quarantine to the first trial.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(60);

/// Maximum time between two trials.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(600);

/// Outcomes of the recent tasks of one worker, and its quarantine.
#[derive(Debug)]
pub(crate) struct WorkerHealth {
    /// Bit set with one bit per task, set for a failure; the lowest bit is the newest task.
    failures: u32,
    tasks: u32,
    failed_jobs: Vec<JobKey>,
    /// Whether the worker accepts only one trial at a time.
    pub(crate) quarantined: bool,
    /// Earliest time of the next trial.
    pub(crate) trial_at: Option<TimePoint>,
    trial_delay: Duration,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self {
            failures: 0,
            tasks: 0,
            failed_jobs: Vec::new(),
            quarantined: false,
            trial_at: None,
            trial_delay: FIRST_TRIAL_DELAY,
        }
    }
}

impl WorkerHealth {
    /// Records a successful task. Returns whether it ends a quarantine.
    pub(crate) fn record_success(&mut self) -> bool {
        self.push(0);
        if !self.failed_jobs.is_empty() {
            self.failed_jobs.remove(0);
        }
        let released = std::mem::take(&mut self.quarantined);
        if released {
            *self = Self::default();
        }
        released
    }

    /// Records a failed job. Returns whether enough distinct jobs have failed for a quarantine.
    pub(crate) fn record_failure(&mut self, job: JobKey) -> bool {
        self.push(1);
        if !self.failed_jobs.contains(&job) && self.failed_jobs.len() < QUARANTINE_JOBS {
            self.failed_jobs.push(job);
        }
        self.failed_jobs.len() >= QUARANTINE_JOBS
    }

    /// Removes a failure that was caused by the job and not by the worker. Returns whether this
    /// ends a quarantine.
    pub(crate) fn retract_failure(&mut self, job: JobKey) -> bool {
        let before = self.failed_jobs.len();
        self.failed_jobs.retain(|failed| *failed != job);
        if self.failures != 0 {
            self.failures &= self.failures - 1;
            self.tasks -= 1;
        }
        let ends = self.quarantined && self.failed_jobs.len() < before;
        if ends {
            *self = Self::default();
        }
        ends
    }

    /// Starts or extends the quarantine. Returns the time of the next trial.
    pub(crate) fn quarantine(&mut self, now: TimePoint) -> TimePoint {
        if self.quarantined {
            self.trial_delay = (self.trial_delay * 2).min(MAX_TRIAL_DELAY);
        }
        self.quarantined = true;
        let at = now.after(self.trial_delay);
        self.trial_at = Some(at);
        at
    }

    /// Whether the worker is quarantined and its next trial is due.
    pub(crate) fn is_trial_due(&self, now: TimePoint) -> bool {
        self.quarantined && self.trial_at.is_some_and(|at| at <= now)
    }

    /// Makes a trial due immediately, after the worker has become active again in the fleet state.
    pub(crate) fn start_trial(&mut self, now: TimePoint) {
        self.quarantined = true;
        self.trial_at = Some(now);
    }

    /// Whether at least half of the recent tasks succeeded. True if there are no tasks.
    pub(crate) fn has_good_record(&self) -> bool {
        self.failures.count_ones() * 2 <= self.tasks
    }

    /// Returns the factor for the free slots of the worker; below 1 after failures. A worker whose
    /// tasks fail immediately always has free slots; squaring keeps it from attracting work.
    pub(crate) fn factor(&self) -> f32 {
        if self.failures == 0 {
            return 1.0;
        }
        #[expect(clippy::cast_precision_loss, reason = "at most 20 tasks")]
        let success_rate = 1.0 - self.failures.count_ones() as f32 / (self.tasks + 1) as f32;
        success_rate * success_rate
    }

    fn push(&mut self, failure: u32) {
        self.failures = (self.failures << 1 | failure) & ((1 << HISTORY_TASKS) - 1);
        self.tasks = (self.tasks + 1).min(HISTORY_TASKS);
    }
}
