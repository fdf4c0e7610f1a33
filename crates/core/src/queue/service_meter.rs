use std::time::Duration;

use crate::time::TimePoint;

/// Weight that the meter keeps per dispatch, an average over about 32 dispatches.
const KEPT_PER_DISPATCH: f64 = 31.0 / 32.0;

/// Dispatches that the meter has to see before it is trusted.
const MIN_DISPATCHES: f64 = 8.0;

/// Time without a backlog after which earlier observations say nothing about the next one.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// Rate at which a backlogged queue is served.
///
/// Only time with a backlog counts. Otherwise a queue with few jobs would seem to be slow.
#[derive(Debug, Default)]
pub(crate) struct ServiceMeter {
    dispatches: f64,
    busy_s: f64,
    since: TimePoint,
}

impl ServiceMeter {
    /// Takes note that the queue has become backlogged.
    pub(crate) fn start_backlog(&mut self, now: TimePoint) {
        if now.since(self.since) > FORGET_AFTER {
            *self = Self::default();
        }
        self.since = now;
    }

    /// Takes note of a dispatch from the queue.
    pub(crate) fn record_dispatch(&mut self, now: TimePoint) {
        let busy = now.since(self.since).as_secs_f64();
        self.dispatches = self.dispatches * KEPT_PER_DISPATCH + 1.0;
        self.busy_s = self.busy_s * KEPT_PER_DISPATCH + busy;
        self.since = now;
    }

    /// Time until `ahead` jobs are dispatched; none before enough dispatches were seen.
    pub(crate) fn estimate(&self, ahead: usize, now: TimePoint) -> Option<Duration> {
        if self.dispatches < MIN_DISPATCHES {
            return None;
        }
        let busy = self.busy_s + now.since(self.since).as_secs_f64();
        #[expect(clippy::cast_precision_loss, reason = "queues are short")]
        let wait = busy / self.dispatches * ahead as f64;
        Some(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX))
    }
}
