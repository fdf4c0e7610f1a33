use serde::{Deserialize, Serialize};

/// Seconds in a day.
pub const SECONDS_PER_DAY: u32 = 86_400;

/// Local date and time of day. The caller reads it from the wall clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct DayTime {
    /// Days since 1970-01-01, local time.
    pub day: u32,
    /// Seconds since local midnight.
    pub second: u32,
}

impl DayTime {
    /// Creates a time from a day and the seconds since its midnight.
    #[must_use]
    pub const fn new(day: u32, second: u32) -> Self {
        Self { day, second }
    }

    /// Returns the full minutes since local midnight.
    #[must_use]
    pub const fn minute(self) -> u16 {
        (self.second / 60) as u16
    }

    /// Returns the seconds from `earlier` to this time, or zero if `earlier` is later.
    #[must_use]
    pub const fn seconds_since(self, earlier: Self) -> u64 {
        self.total_seconds().saturating_sub(earlier.total_seconds())
    }

    const fn total_seconds(self) -> u64 {
        self.day as u64 * SECONDS_PER_DAY as u64 + self.second as u64
    }
}
