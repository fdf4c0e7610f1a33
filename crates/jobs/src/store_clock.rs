use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use sesamedeal_core::time::TimePoint;

/// Time for which a difference between the clocks counts at least. They drift apart.
const OFFSET_WINDOW: Duration = Duration::from_secs(10);

/// Time by which a reading lags behind the estimate if the store's clock was set back: no answer is
/// waited for that long.
const RESTART_LAG: i64 = 30_000;

/// Estimates the store's clock from the readings that its answers carry.
///
/// An answer has been on its way for some time when it is read, so that the least difference
/// between the clocks is the best estimate.
#[derive(Debug, Clone, Default)]
pub struct StoreClock {
    offsets: Arc<Mutex<OffsetWindow>>,
}

/// Least differences of the present and of the previous window, in milliseconds.
#[derive(Debug, Default)]
struct OffsetWindow {
    since: TimePoint,
    present: Option<i64>,
    previous: Option<i64>,
}

impl OffsetWindow {
    fn least(&self) -> Option<i64> {
        self.present.into_iter().chain(self.previous).min()
    }
}

impl StoreClock {
    /// Notes an answer that was received at `received` and carried the reading `at_ms`.
    pub fn record(&self, at_ms: u64, received: TimePoint) {
        let offset = difference(millis(received), at_ms);
        let mut offsets = self.offsets.lock();
        if offsets
            .least()
            .is_some_and(|least| offset > least + RESTART_LAG)
        {
            *offsets = OffsetWindow::default();
        }
        if received.since(offsets.since) >= OFFSET_WINDOW {
            offsets.previous = offsets.present.take();
            offsets.since = received;
        }
        let least = offsets.present.map_or(offset, |least| least.min(offset));
        offsets.present = Some(least);
    }

    /// Time since the store's clock showed `at_ms`, less the time of the quickest answer on its way;
    /// none before the first answer.
    #[must_use]
    pub fn age(&self, at_ms: u64, now: TimePoint) -> Option<Duration> {
        let least = self.offsets.lock().least()?;
        let age = difference(millis(now), at_ms).saturating_sub(least);
        Some(Duration::from_millis(u64::try_from(age).unwrap_or(0)))
    }
}

fn millis(point: TimePoint) -> u64 {
    u64::try_from(point.since_origin().as_millis()).unwrap_or(u64::MAX)
}

/// `left` - `right`.
fn difference(left: u64, right: u64) -> i64 {
    let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
    signed(left) - signed(right)
}
