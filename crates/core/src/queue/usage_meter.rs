use std::time::Duration;

use crate::time::TimePoint;

/// Half-life of usage in seconds.
pub(crate) const HALF_LIFE_S: f64 = 10.0;

/// Time constant of the decay in seconds.
const DECAY_S: f64 = HALF_LIFE_S / std::f64::consts::LN_2;

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

    /// Usage after `age` when `held` slots are held all the time.
    pub(crate) fn project(value: f64, held: f64, age: Duration) -> f64 {
        let kept = (-age.as_secs_f64() / DECAY_S).exp();
        value * kept + held * DECAY_S * (1.0 - kept)
    }

    /// Slots held on average, by which usage went from `before` to `after`; none for no time.
    pub(crate) fn average(before: f64, after: f64, elapsed: Duration) -> Option<f64> {
        let kept = (-elapsed.as_secs_f64() / DECAY_S).exp();
        let added = (after - before * kept).max(0.0);
        (kept < 1.0).then(|| added / (DECAY_S * (1.0 - kept)))
    }

    /// Usage at `now` when `held` slots were held since the last update.
    pub(crate) fn read(&self, held: f64, now: TimePoint) -> f64 {
        let elapsed = now.since(self.at);
        if elapsed.is_zero() || self.value == 0.0 && held == 0.0 {
            return self.value;
        }
        Self::project(self.value, held, elapsed)
    }

    /// Brings the meter up to `now`. Has to be called before the number of held slots changes.
    pub(crate) fn update(&mut self, held: f64, now: TimePoint) {
        self.value = self.read(held, now);
        self.at = self.at.max(now);
    }

    /// Adds slot time, which may be negative.
    pub(crate) fn add(&mut self, usage: f64) {
        self.value += usage;
    }
}
