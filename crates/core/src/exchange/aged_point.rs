use std::time::Duration;

use crate::time::TimePoint;

/// Past point in time, stored as an age at a local point because it may precede the origin of the
/// local clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AgedPoint {
    at: TimePoint,
    age: Duration,
}

impl AgedPoint {
    /// Creates the point `age` before `at`.
    pub(crate) const fn new(age: Duration, at: TimePoint) -> Self {
        Self { at, age }
    }

    /// Returns the age at `now`.
    pub(crate) const fn age(self, now: TimePoint) -> Duration {
        now.since(self.at).saturating_add(self.age)
    }
}
