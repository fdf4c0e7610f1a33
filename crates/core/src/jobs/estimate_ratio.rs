use std::time::Duration;

use super::scaled_amount::scaled;

/// Weight of the initial ratio of 1.0, in core milliseconds of work.
const PRIOR_WORK: f64 = 200_000.0;

/// Decay factor applied to the previous totals for each ended task. The average covers about a
/// thousand tasks.
const RETENTION: f64 = 0.999;

/// Bounds of the ratio. Single estimates may be far off, but not those of all tasks of a pool.
const BOUNDS: (f64, f64) = (0.5, 3.0);

/// Initial mean deviation of a run time from its corrected estimate, relative to it.
const PRIOR_DEVIATION: f64 = 0.1;

/// Ratio of actual to estimated run time of a pool's tasks, weighted by work.
#[derive(Debug, Clone)]
pub(super) struct EstimateRatio {
    actual: f64,
    declared: f64,
    /// Sum of the deviations of run times from their corrected estimates, weighted like the others.
    deviation: f64,
}

impl Default for EstimateRatio {
    fn default() -> Self {
        Self {
            actual: PRIOR_WORK,
            declared: PRIOR_WORK,
            deviation: PRIOR_WORK * PRIOR_DEVIATION,
        }
    }
}

impl EstimateRatio {
    /// Records an ended task that used `cpu_millis` thousandths of a core.
    pub(super) fn record(&mut self, cpu_millis: u64, actual: Duration, declared: Duration) {
        #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
        let cpu = cpu_millis as f64;
        let expected = declared.as_secs_f64() * self.value();
        let deviation = (actual.as_secs_f64() - expected).abs();
        self.deviation = self.deviation * RETENTION + cpu * deviation;
        self.actual = self.actual * RETENTION + cpu * actual.as_secs_f64();
        self.declared = self.declared * RETENTION + cpu * declared.as_secs_f64();
    }

    fn value(&self) -> f64 {
        (self.actual / self.declared.max(1.0)).clamp(BOUNDS.0, BOUNDS.1)
    }

    /// Mean deviation of a run time from its corrected estimate, relative to it.
    pub(super) fn deviation(&self) -> f64 {
        (self.deviation / self.actual.max(1.0)).min(1.0)
    }

    /// Scales an estimated run time by the ratio.
    pub(super) fn apply_to_time(&self, estimate: Duration) -> Duration {
        estimate.mul_f64(self.value())
    }

    /// Scales an amount of declared work by the ratio.
    pub(super) fn apply(&self, work: u64) -> u64 {
        scaled(work, self.value())
    }

    /// Declared work that corresponds to an amount of corrected work.
    pub(super) fn revert(&self, work: u64) -> u64 {
        scaled(work, 1.0 / self.value())
    }
}
