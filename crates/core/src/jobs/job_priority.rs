//! Order in which waiting jobs are placed on workers.
//!
//! Load pattern: for several seconds, jobs arrive at about five times the mean rate, which exceeds
//! the capacity of the pool. Jobs that can still meet their objective are placed first, then those
//! that can still end within [`USEFUL_MULTIPLE`] times the objective, then the rest. Within a class
//! and priority, the job with the least slack comes first, which prevents starvation.

use std::time::Duration;

/// Multiple of the objective within which the result is still useful to the caller.
pub const USEFUL_MULTIPLE: u32 = 3;

/// Whether a job can still meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UrgencyClass {
    /// The job can still end within its objective.
    InTime,
    /// The job can still end within [`USEFUL_MULTIPLE`] times its objective.
    Late,
    /// The job can only end later than that.
    TooLate,
}

/// Sort key of waiting jobs; the smallest key comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PriorityKey {
    /// Whether the tasks are batch tasks. Long-running tasks come first, since the time that
    /// they wait cannot be made up.
    pub is_batch: bool,
    /// Whether the team uses more than its fair share.
    pub is_over_share: bool,
    /// Whether the job can still meet its objective.
    pub class: UrgencyClass,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Objective less the expected end of the job, in milliseconds; negative if it will be missed.
    pub slack_ms: i64,
}

impl PriorityKey {
    /// Creates the key of a job that was accepted `age` ago, needs `remaining` more run time and
    /// should end within `objective` of its acceptance.
    #[must_use]
    pub fn new(
        is_over_share: bool,
        priority: u32,
        age: Duration,
        remaining: Duration,
        objective: Duration,
    ) -> Self {
        let end = age.saturating_add(remaining);
        let class = if end <= objective {
            UrgencyClass::InTime
        } else if end <= objective.saturating_mul(USEFUL_MULTIPLE) {
            UrgencyClass::Late
        } else {
            UrgencyClass::TooLate
        };
        let millis = |time: Duration| i64::try_from(time.as_millis()).unwrap_or(i64::MAX);
        Self {
            is_batch: true,
            is_over_share,
            class,
            priority,
            slack_ms: millis(objective).saturating_sub(millis(end)),
        }
    }

    /// Returns the key in the class and with the slack that the plan of an overloaded pool gives.
    ///
    /// A job that cannot end in time comes after all jobs that can, also those of teams which use
    /// more than their fair share.
    #[must_use]
    pub fn with_plan(mut self, class: UrgencyClass, slack_ms: i64) -> Self {
        self.is_over_share |= class != UrgencyClass::InTime;
        self.class = class;
        self.slack_ms = slack_ms;
        self
    }

    /// Returns the same key for long-running tasks.
    #[must_use]
    pub const fn with_long_running(mut self) -> Self {
        self.is_batch = false;
        self
    }
}
