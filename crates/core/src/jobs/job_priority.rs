//! Order in which waiting jobs get room.
//!
//! Load pattern: a surge of about five times the mean for some seconds, more than the pool holds.
//! Jobs that can still meet their objective come first, then those that can still end within the
//! useful multiple of it, then the rest. Within a class the job with the earliest objective comes
//! first, so that nobody waits for ever.

use std::time::Duration;

/// Multiple of the objective within which an end is still of use to the caller.
pub const USEFUL_MULTIPLE: u32 = 3;

/// How well a job can still do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UrgencyClass {
    /// It can end within its objective.
    InTime,
    /// It can end within the useful multiple of its objective.
    Late,
    /// It can only end later.
    TooLate,
}

/// Place of a job in the order. The smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PriorityKey {
    /// Whether the tasks end; tasks that last come first, since each moment without them is lost.
    pub is_batch: bool,
    /// Whether the team has more than its share in use.
    pub is_over_share: bool,
    /// How well the job can still do.
    pub class: UrgencyClass,
    /// Priority of the queue; 0 comes first.
    pub priority: u32,
    /// Age at which the objective passes, less the age of the job, in milliseconds.
    pub slack_ms: i64,
}

impl PriorityKey {
    /// Ranks a job of age `age` that needs `remaining` more run time and whose objective is
    /// `objective` after its acceptance.
    #[must_use]
    pub fn new(
        is_over_share: bool,
        priority: u32,
        age: Duration,
        remaining: Duration,
        objective: Duration,
    ) -> Self {
        let end = age + remaining;
        let class = if end <= objective {
            UrgencyClass::InTime
        } else if end <= objective * USEFUL_MULTIPLE {
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

    /// The same place among the tasks that last.
    #[must_use]
    pub const fn with_long_running(mut self) -> Self {
        self.is_batch = false;
        self
    }
}
