//! Which instance of a maintenance wave is taken out next.
//!
//! Load pattern: a wave of upkeep at the peak of a surge. Instances with lasting tasks that can be
//! taken out go first, then those with the least work, and one is taken only while fewer than the
//! wave's limit are out. While tasks wait for room, no more are taken out at once than the time of
//! the wave asks for.

use std::time::Duration;

use crate::ids::InstanceName;

/// Instances that are emptied beyond the wave's limit, so that one is ready when another returns.
const EMPTIED_AHEAD: usize = 1;

/// Time that an instance takes in a wave: to move its lasting tasks away one after another, and for
/// the maintenance itself, which takes 2 s.
const INSTANCE_TIME: Duration = Duration::from_secs(5);

/// Part of the wave's time that is kept for delays.
const RESERVE_SHARE: f64 = 0.2;

/// Maintenance of a set of instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// The instances.
    pub instances: Vec<InstanceName>,
    /// Time within which all are maintained, from when the wave was made known.
    pub complete_by: Duration,
    /// Most of them that may be out at once.
    pub limit: usize,
}

/// An instance that waits for its maintenance.
#[derive(Debug, Clone)]
pub struct MaintenanceCandidate {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Whether its tasks are being moved away already.
    pub is_evacuating: bool,
    /// Whether a task on it cannot be taken out at present.
    pub is_blocked: bool,
    /// Whether no other worker of its pool takes tasks now, although there are others.
    pub is_last: bool,
    /// Whether tasks that last run on it. They are moved away a few at a time, so that such an
    /// instance takes long, and it cannot move to another pool meanwhile.
    pub has_long_running: bool,
    /// Processor in use on it, in thousandths of a core.
    pub cpu_in_use: u64,
}

/// Instances of a wave that may be out or emptied at once.
///
/// `remaining` instances wait for their maintenance, `age` is the time since the wave was made
/// known, if that is known, and `is_short` says that tasks wait for room or a pool surges.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "instances are few and times are not negative"
)]
pub fn evacuation_limit(
    wave: &MaintenanceWave,
    remaining: usize,
    age: Option<Duration>,
    is_short: bool,
) -> usize {
    let most = wave.limit + EMPTIED_AHEAD;
    let Some(age) = age.filter(|_| is_short) else {
        return most;
    };
    let left = wave.complete_by.mul_f64(1.0 - RESERVE_SHARE);
    let left = left.saturating_sub(age);
    let rounds = left.as_secs_f64() / INSTANCE_TIME.as_secs_f64();
    if rounds < 1.0 {
        return most;
    }
    ((remaining as f64 / rounds).ceil() as usize).min(most)
}

/// The next instance to evacuate while `out` instances are out or being evacuated.
#[must_use]
pub fn next_candidate(
    limit: usize,
    out: usize,
    choices: &[MaintenanceCandidate],
) -> Option<&MaintenanceCandidate> {
    if out >= limit {
        return None;
    }
    choices
        .iter()
        .filter(|choice| !choice.is_evacuating && !choice.is_last)
        .min_by_key(|choice| {
            (
                choice.is_blocked,
                !choice.has_long_running,
                choice.cpu_in_use,
            )
        })
}
