use std::time::Duration;

use super::scaled_amount::scaled;

/// Work that the ratio of one stands for before any task has ended, in core milliseconds.
const PRIOR_WORK: f64 = 200_000.0;

/// Share of what is known that an ended task leaves. About a thousand tasks count.
const RETENTION: f64 = 0.999;

/// Bounds of the ratio. Estimates may be far off, but not for all tasks of a pool.
const BOUNDS: (f64, f64) = (0.5, 3.0);

/// How long the tasks of a pool run compared with their estimates, by the work that they do.
#[derive(Debug, Clone)]
pub(super) struct EstimateRatio {
    actual: f64,
    declared: f64,
}

impl Default for EstimateRatio {
    fn default() -> Self {
        Self {
            actual: PRIOR_WORK,
            declared: PRIOR_WORK,
        }
    }
}

impl EstimateRatio {
    /// Takes note of an ended task on `cpu_millis` thousandths of a core.
    pub(super) fn record(&mut self, cpu_millis: u64, actual: Duration, declared: Duration) {
        #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
        let cpu = cpu_millis as f64;
        self.actual = self.actual * RETENTION + cpu * actual.as_secs_f64();
        self.declared = self.declared * RETENTION + cpu * declared.as_secs_f64();
    }

    fn value(&self) -> f64 {
        (self.actual / self.declared.max(1.0)).clamp(BOUNDS.0, BOUNDS.1)
    }

    /// Applies the ratio to an estimate.
    pub(super) fn apply_to_time(&self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.value())
    }

    /// Applies the ratio to an amount of declared work.
    pub(super) fn apply(&self, work: u64) -> u64 {
        scaled(work, self.value())
    }
}
