use std::time::Duration;

use crate::scheduler::JobKey;
use crate::time::TimePoint;

/// Tasks over which the record of a worker is kept.
const RECORD_TASKS: u32 = 20;

/// Distinct failed jobs after which a worker is quarantined.
const BLAMED_JOBS: usize = 3;

/// Time after which a quarantined worker is first tried again.
const FIRST_TRIAL: Duration = Duration::from_secs(60);

/// Longest time between two trials.
const LONGEST_TRIAL: Duration = Duration::from_secs(600);

/// Record of the recent tasks of one worker.
#[derive(Debug)]
pub(crate) struct WorkerHealth {
    /// One bit per task, newest lowest; set for a failure.
    failures: u32,
    tasks: u32,
    blamed: Vec<JobKey>,
    /// Whether the worker takes nothing but one trial at a time.
    pub(crate) quarantined: bool,
    /// Point of the next trial.
    pub(crate) trial_at: Option<TimePoint>,
    delay: Duration,
}

impl Default for WorkerHealth {
    fn default() -> Self {
        Self {
            failures: 0,
            tasks: 0,
            blamed: Vec::new(),
            quarantined: false,
            trial_at: None,
            delay: FIRST_TRIAL,
        }
    }
}

impl WorkerHealth {
    /// Takes note of a success. Returns whether it ends a quarantine.
    pub(crate) fn record_success(&mut self) -> bool {
        self.push(0);
        if !self.blamed.is_empty() {
            self.blamed.remove(0);
        }
        let released = std::mem::take(&mut self.quarantined);
        if released {
            *self = Self::default();
        }
        released
    }

    /// Takes note of a failed job. Returns whether enough distinct jobs failed for a quarantine.
    pub(crate) fn record_failure(&mut self, job: JobKey) -> bool {
        self.push(1);
        if !self.blamed.contains(&job) && self.blamed.len() < BLAMED_JOBS {
            self.blamed.push(job);
        }
        self.blamed.len() >= BLAMED_JOBS
    }

    /// Takes back the blame for a job that turned out to be bad. Returns whether this ends a
    /// quarantine.
    pub(crate) fn retract_failure(&mut self, job: JobKey) -> bool {
        let before = self.blamed.len();
        self.blamed.retain(|blamed| *blamed != job);
        if self.failures != 0 {
            self.failures &= self.failures - 1;
            self.tasks -= 1;
        }
        let ends = self.quarantined && self.blamed.len() < before;
        if ends {
            *self = Self::default();
        }
        ends
    }

    /// Starts or prolongs the quarantine. Returns the point of the next trial.
    pub(crate) fn quarantine(&mut self, now: TimePoint) -> TimePoint {
        if self.quarantined {
            self.delay = (self.delay * 2).min(LONGEST_TRIAL);
        }
        self.quarantined = true;
        let at = now.after(self.delay);
        self.trial_at = Some(at);
        at
    }

    /// Whether the point of the next trial has come.
    pub(crate) fn is_trial_due(&self, now: TimePoint) -> bool {
        self.quarantined && self.trial_at.is_some_and(|at| at <= now)
    }

    /// Puts the worker on trial at once, after the fleet made it active again.
    pub(crate) fn start_trial(&mut self, now: TimePoint) {
        self.quarantined = true;
        self.trial_at = Some(now);
    }

    /// Whether most of the recent tasks succeeded. A worker without tasks has a good record.
    pub(crate) fn has_good_record(&self) -> bool {
        self.failures.count_ones() * 2 <= self.tasks
    }

    /// Factor for the free slots of the worker; below 1 after failures. The square keeps a worker
    /// that fails at once, and so always has free slots, from attracting work.
    pub(crate) fn factor(&self) -> f32 {
        if self.failures == 0 {
            return 1.0;
        }
        #[expect(clippy::cast_precision_loss, reason = "at most 20 tasks")]
        let kept = 1.0 - self.failures.count_ones() as f32 / (self.tasks + 1) as f32;
        kept * kept
    }

    fn push(&mut self, failure: u32) {
        self.failures = (self.failures << 1 | failure) & ((1 << RECORD_TASKS) - 1);
        self.tasks = (self.tasks + 1).min(RECORD_TASKS);
    }
}
