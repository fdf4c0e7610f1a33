//! Monotonic time, passed to the decision library as an argument.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on a process's monotonic clock, counted from an arbitrary origin.
///
/// Time points of different processes are not comparable; messages carry ages instead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TimePoint(Duration);

impl TimePoint {
    /// The origin of the clock.
    pub const ORIGIN: Self = Self(Duration::ZERO);

    /// Creates a point from the time since the origin.
    #[must_use]
    pub const fn new(since_origin: Duration) -> Self {
        Self(since_origin)
    }

    /// Creates a point from milliseconds since the origin.
    #[must_use]
    pub const fn with_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Time since the origin.
    #[must_use]
    pub const fn since_origin(self) -> Duration {
        self.0
    }

    /// The point `delay` after this one; saturates at the largest representable time.
    #[must_use]
    pub const fn after(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(delay))
    }

    /// The point `time` before this one; zero if there is none.
    #[must_use]
    pub const fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }

    /// Time from `earlier` to this point; zero if `earlier` is after this point.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}
