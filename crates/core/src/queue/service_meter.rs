use std::time::Duration;

use crate::time::TimePoint;

/// Factor by which the weight of earlier dispatches decays with each dispatch. The resulting
/// average covers about 32 dispatches.
const DECAY_PER_DISPATCH: f64 = 31.0 / 32.0;

/// Number of dispatches, weighted by their decay, from which the meter returns estimates.
const MIN_DISPATCHES: f64 = 8.0;

/// Time without a dispatch or a new backlog after which earlier observations are discarded: they
/// do not predict the rate of the next backlog.
const RESET_AFTER: Duration = Duration::from_secs(5);

/// Rate at which a backlogged queue is served.
///
/// Only time with a backlog counts. Otherwise a queue with few jobs would appear to be slow.
#[derive(Debug, Default)]
pub(crate) struct ServiceMeter {
    dispatches: f64,
    busy_s: f64,
    since: TimePoint,
}

impl ServiceMeter {
    /// Records that the queue has become backlogged.
    pub(crate) fn start_backlog(&mut self, now: TimePoint) {
        if now.since(self.since) > RESET_AFTER {
            *self = Self::default();
        }
        self.since = now;
    }

    /// Records a dispatch from the queue.
    pub(crate) fn record_dispatch(&mut self, now: TimePoint) {
        let busy = now.since(self.since).as_secs_f64();
        self.dispatches = self.dispatches * DECAY_PER_DISPATCH + 1.0;
        self.busy_s = self.busy_s * DECAY_PER_DISPATCH + busy;
        self.since = now;
    }

    /// Estimated time until `ahead` jobs are dispatched; `None` before `MIN_DISPATCHES`.
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
