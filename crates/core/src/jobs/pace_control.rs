//! Pace of filler tasks, which run best-effort on the CPU that other tasks on a worker leave
//! unused.
//!
//! Load pattern: the slowdown that fillers cause in serving tasks changes within seconds. The pace
//! is halved as soon as the tail latency nears its target and rises in small steps, to avoid
//! oscillation.

/// Fraction of the target latency at which fillers are slowed down.
const SLOW_FROM: f64 = 0.85;

/// Fraction of the target latency below which fillers are sped up.
const SPEED_BELOW: f64 = 0.6;

/// Increase of the pace per adjustment, in percentage points.
const RISE_STEP: u8 = 10;

/// Returns the new pace, in percent, for fillers on a worker whose worst serving task has a tail
/// latency of `load` times its target. A target that is reached pauses the fillers.
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
