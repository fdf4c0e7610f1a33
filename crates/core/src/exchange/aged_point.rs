use std::time::Duration;

use crate::time::TimePoint;

/// Point that may lie before the origin of the local clock: an age at a local point.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AgedPoint {
    at: TimePoint,
    age: Duration,
}

impl AgedPoint {
    /// The point that lay `age` back at `at`.
    pub(crate) const fn new(age: Duration, at: TimePoint) -> Self {
        Self { at, age }
    }

    /// Age at `now`.
    pub(crate) const fn age(self, now: TimePoint) -> Duration {
        now.since(self.at).saturating_add(self.age)
    }
}
