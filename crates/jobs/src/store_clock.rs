use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use sesamedeal_core::time::TimePoint;

/// Minimum time for which a clock offset is used. Older offsets are dropped because clocks drift.
const OFFSET_WINDOW: Duration = Duration::from_secs(10);

/// Offset above the estimate, in milliseconds, from which the store's clock counts as set back. No
/// call waits that long for its answer, so a slow answer cannot cause such an offset.
const CLOCK_RESET_MS: i64 = 30_000;

/// Estimates the offset between the local clock and the store's clock from the timestamps in its
/// answers.
///
/// Each measured offset includes the time that the answer took to arrive, so the minimum over a
/// window is the best estimate.
#[derive(Debug, Clone, Default)]
pub struct StoreClock {
    offsets: Arc<Mutex<OffsetWindow>>,
}

/// Minimum offsets of the current and the previous window, in milliseconds.
#[derive(Debug, Default)]
struct OffsetWindow {
    since: TimePoint,
    current: Option<i64>,
    previous: Option<i64>,
}

impl OffsetWindow {
    fn minimum(&self) -> Option<i64> {
        self.current.into_iter().chain(self.previous).min()
    }
}

impl StoreClock {
    /// Records an answer that was received at `received` and carries the store time `at_ms`.
    pub fn record(&self, at_ms: u64, received: TimePoint) {
        let offset = difference(millis(received), at_ms);
        let mut offsets = self.offsets.lock();
        if offsets
            .minimum()
            .is_some_and(|minimum| offset > minimum + CLOCK_RESET_MS)
        {
            *offsets = OffsetWindow::default();
        }
        if received.since(offsets.since) >= OFFSET_WINDOW {
            offsets.previous = offsets.current.take();
            offsets.since = received;
        }
        let minimum = offsets
            .current
            .map_or(offset, |minimum| minimum.min(offset));
        offsets.current = Some(minimum);
    }

    /// Returns the time since the store time `at_ms`, or `None` before the first answer. The result
    /// is too low by the transit time of the fastest answer.
    #[must_use]
    pub fn age(&self, at_ms: u64, now: TimePoint) -> Option<Duration> {
        let minimum = self.offsets.lock().minimum()?;
        let age = difference(millis(now), at_ms).saturating_sub(minimum);
        Some(Duration::from_millis(u64::try_from(age).unwrap_or(0)))
    }
}

fn millis(point: TimePoint) -> u64 {
    u64::try_from(point.since_origin().as_millis()).unwrap_or(u64::MAX)
}

/// Returns `left - right`, with each clamped to `i64::MAX`.
fn difference(left: u64, right: u64) -> i64 {
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    signed(left) - signed(right)
}
