use std::time::{SystemTime, UNIX_EPOCH};

use sesamedeal_core::time::TimePoint;
use tokio::time::Instant;

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
        TimePoint::new(self.origin.elapsed())
    }
}

/// Unix time in milliseconds.
pub(crate) fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}
