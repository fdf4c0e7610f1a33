use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use sesamedeal_core::time::TimePoint;

/// Monotonic clock that includes the time for which the machine is suspended.
///
/// `std::time::Instant` stops during a suspension, so a lease measured with it would appear to last
/// longer than it does.
#[derive(Debug, Clone, Copy)]
pub struct BootClock;

impl BootClock {
    /// Returns the time since the machine booted, including suspension.
    #[must_use]
    pub fn now(self) -> TimePoint {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
        TimePoint::new(Duration::new(seconds, nanos))
    }

    /// Converts a Unix time in milliseconds, read from the clock of another instance, to the time
    /// of this clock. The result is never before the boot nor after the current time.
    #[must_use]
    pub fn time_of(self, unix_ms: u64) -> TimePoint {
        let age = Duration::from_millis(self.unix_ms().saturating_sub(unix_ms));
        TimePoint::new(self.now().since_origin().saturating_sub(age))
    }

    /// Returns the current Unix time in milliseconds.
    #[must_use]
    pub fn unix_ms(self) -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        elapsed.map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
    }
}
