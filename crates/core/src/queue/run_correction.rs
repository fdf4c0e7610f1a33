use std::time::Duration;

/// Weight that the correction keeps per finished job.
const KEPT_PER_JOB: f64 = 0.95;

/// Bounds of the factor, so that one absurd declaration does not rule the estimate.
const FACTOR_BOUNDS: (f64, f64) = (0.01, 100.0);

/// Smallest declared run time in seconds; callers may declare none.
const MIN_DECLARED_S: f64 = 0.001;

/// Observed run time of a team's jobs relative to their declared run time.
#[derive(Debug, Default)]
pub(crate) struct RunCorrection {
    observed_s: f64,
    declared_s: f64,
}

impl RunCorrection {
    /// Takes note of a finished job.
    pub(crate) fn record(&mut self, declared: Duration, observed: Duration) {
        self.observed_s = self.observed_s * KEPT_PER_JOB + observed.as_secs_f64();
        self.declared_s =
            self.declared_s * KEPT_PER_JOB + declared.as_secs_f64().max(MIN_DECLARED_S);
    }

    /// Factor from declared to observed run time; 1 before the first job.
    pub(crate) fn factor(&self) -> f64 {
        if self.declared_s == 0.0 {
            return 1.0;
        }
        (self.observed_s / self.declared_s).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)
    }

    /// Expected run time of a job with this declaration; none before the first finished job.
    pub(crate) fn estimate(&self, declared: Duration) -> Option<Duration> {
        (self.declared_s > 0.0).then(|| self.estimate_or_declared(declared))
    }

    /// Expected run time of a job with this declaration.
    pub(crate) fn estimate_or_declared(&self, declared: Duration) -> Duration {
        Duration::from_secs_f64(declared.as_secs_f64().max(MIN_DECLARED_S) * self.factor())
    }
}
