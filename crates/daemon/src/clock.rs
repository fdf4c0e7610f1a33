use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sesamedeal_core::fleet::{DayTime, SECONDS_PER_DAY};
use sesamedeal_core::time::TimePoint;
use tokio::time::Instant;

/// Reading of the clock when the process starts. Evidence that a peer relays can be older than
/// the process, and `TimePoint` cannot lie before its origin.
const START: Duration = Duration::from_hours(24);

/// Clock of the process. It follows `tokio`'s clock, so that tests can pause it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    pub(crate) fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> TimePoint {
        TimePoint::new(START + self.origin.elapsed())
    }
}

/// Unix time in milliseconds.
pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Local date and time of day.
pub(crate) fn day_time(utc_offset_minutes: i32) -> DayTime {
    let seconds = i64::try_from(unix_millis() / 1_000).unwrap_or(i64::MAX);
    let local = seconds.saturating_add(i64::from(utc_offset_minutes) * 60);
    let day_length = i64::from(SECONDS_PER_DAY);
    let day = u32::try_from(local.div_euclid(day_length)).unwrap_or(0);
    let second = u32::try_from(local.rem_euclid(day_length)).unwrap_or(0);
    DayTime::new(day, second)
}
