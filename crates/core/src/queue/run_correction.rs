use std::time::Duration;

/// Factor by which the weight of earlier jobs decays with each finished job.
const DECAY_PER_JOB: f64 = 0.95;

/// Bounds of the correction factor. They limit the effect of a wildly wrong declared run time.
const FACTOR_BOUNDS: (f64, f64) = (0.01, 100.0);

/// Minimum declared run time in seconds. Callers may declare zero.
const MIN_DECLARED_S: f64 = 0.001;

/// Ratio of observed to declared run time of a team's jobs, used to correct declared run times.
#[derive(Debug, Default)]
pub(crate) struct RunCorrection {
    observed_s: f64,
    declared_s: f64,
}

impl RunCorrection {
    /// Records a finished job.
    pub(crate) fn record(&mut self, declared: Duration, observed: Duration) {
        self.observed_s = self.observed_s * DECAY_PER_JOB + observed.as_secs_f64();
        self.declared_s =
            self.declared_s * DECAY_PER_JOB + declared.as_secs_f64().max(MIN_DECLARED_S);
    }

    /// Ratio of observed to declared run time; 1 before the first finished job.
    pub(crate) fn factor(&self) -> f64 {
        if self.declared_s == 0.0 {
            return 1.0;
        }
        (self.observed_s / self.declared_s).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)
    }

    /// Expected run time of a job with this declared run time; `None` before the first finished
    /// job.
    pub(crate) fn estimate(&self, declared: Duration) -> Option<Duration> {
        (self.declared_s > 0.0).then(|| self.estimate_or_declared(declared))
    }

    /// Expected run time of a job with this declared run time. Before the first finished job, this
    /// is the declared run time.
    pub(crate) fn estimate_or_declared(&self, declared: Duration) -> Duration {
        Duration::from_secs_f64(declared.as_secs_f64().max(MIN_DECLARED_S) * self.factor())
    }
}
