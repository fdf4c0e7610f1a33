use std::time::Duration;

use crate::time::TimePoint;

/// Time constant of a decay with this half-life, in seconds.
pub(crate) fn decay_with_half_life(half_life: Duration) -> f64 {
    half_life.as_secs_f64() / std::f64::consts::LN_2
}

/// Slot time in slot seconds, decayed exponentially.
///
/// The meter integrates the slots held, so that a task counts from its start on with its observed
/// run time instead of its declared one.
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

    /// Usage after `age` when `held` slots are held all the time. `decay_s` is the time constant.
    pub(crate) fn project(value: f64, held: f64, decay_s: f64, age: Duration) -> f64 {
        let kept = (-age.as_secs_f64() / decay_s).exp();
        value * kept + held * decay_s * (1.0 - kept)
    }

    /// Slots held on average, by which usage went from `before` to `after`; none for no time.
    pub(crate) fn average(before: f64, after: f64, decay_s: f64, elapsed: Duration) -> Option<f64> {
        let kept = (-elapsed.as_secs_f64() / decay_s).exp();
        let added = (after - before * kept).max(0.0);
        (kept < 1.0).then(|| added / (decay_s * (1.0 - kept)))
    }

    /// Usage at `now` when `held` slots were held since the last update.
    pub(crate) fn read(&self, held: f64, decay_s: f64, now: TimePoint) -> f64 {
        let elapsed = now.since(self.at);
        if elapsed.is_zero() || self.value == 0.0 && held == 0.0 {
            return self.value;
        }
        Self::project(self.value, held, decay_s, elapsed)
    }

    /// Brings the meter up to `now`. Has to be called before the number of held slots changes.
    pub(crate) fn update(&mut self, held: f64, decay_s: f64, now: TimePoint) {
        self.value = self.read(held, decay_s, now);
        self.at = self.at.max(now);
    }

    /// Adds slot time, which may be negative.
    pub(crate) fn add(&mut self, usage: f64) {
        self.value += usage;
    }
}
