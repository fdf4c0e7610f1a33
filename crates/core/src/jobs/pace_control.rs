//! Pace of the tasks that fill a worker beside tasks that serve.
//!
//! Load pattern: fillers disturb serving tasks by amounts that change within seconds. The pace falls
//! at once when a tail nears its target and rises slowly, so that it does not swing.

/// Share of the target from which fillers are slowed.
const SLOW_FROM: f64 = 0.85;

/// Share of the target below which fillers are sped up.
const SPEED_BELOW: f64 = 0.6;

/// Step by which the pace rises, in percent.
const RISE_STEP: u8 = 10;

/// Pace of the fillers of a worker whose worst serving task has a tail of `load` times its target.
#[must_use]
pub fn pace_percent(current: u8, load: f64) -> u8 {
    if load >= 1.0 {
        0
    } else if load >= SLOW_FROM {
        current / 2
    } else if load < SPEED_BELOW {
        current.saturating_add(RISE_STEP).min(100)
    } else {
        current
    }
}
