use std::time::Duration;

use crate::time::TimePoint;

/// Time constant, in seconds, of an exponential decay with this half-life.
pub(crate) fn decay_with_half_life(half_life: Duration) -> f64 {
    half_life.as_secs_f64() / std::f64::consts::LN_2
}

/// Slot usage in slot seconds, with exponential decay.
///
/// The meter integrates the held slots over time, so that a task counts from its start and with its
/// observed run time instead of its declared one.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct UsageMeter {
    value: f64,
    at: TimePoint,
}

impl UsageMeter {
    /// Creates a meter with `value` slot seconds at `at`.
    pub(crate) fn new(value: f64, at: TimePoint) -> Self {
        Self { value, at }
    }

    /// Usage after `age`, starting from `value`, when `held` slots are held throughout. `decay_s`
    /// is the time constant in seconds.
    pub(crate) fn project(value: f64, held: f64, decay_s: f64, age: Duration) -> f64 {
        let kept = (-age.as_secs_f64() / decay_s).exp();
        value * kept + held * decay_s * (1.0 - kept)
    }

    /// Average number of held slots that changes the usage from `before` to `after` in `elapsed`;
    /// `None` if no time has elapsed.
    pub(crate) fn average(before: f64, after: f64, decay_s: f64, elapsed: Duration) -> Option<f64> {
        let kept = (-elapsed.as_secs_f64() / decay_s).exp();
        let added = (after - before * kept).max(0.0);
        (kept < 1.0).then(|| added / (decay_s * (1.0 - kept)))
    }

    /// Usage at `now` if `held` slots have been held since the last update.
    pub(crate) fn read(&self, held: f64, decay_s: f64, now: TimePoint) -> f64 {
        let elapsed = now.since(self.at);
        if elapsed.is_zero() || self.value == 0.0 && held == 0.0 {
            return self.value;
        }
        Self::project(self.value, held, decay_s, elapsed)
    }

    /// Updates the meter to `now`. Must be called before the number of held slots changes.
    pub(crate) fn update(&mut self, held: f64, decay_s: f64, now: TimePoint) {
        self.value = self.read(held, decay_s, now);
        self.at = self.at.max(now);
    }

    /// Adds slot seconds; `usage` may be negative.
    pub(crate) fn add(&mut self, usage: f64) {
        self.value += usage;
    }
}
