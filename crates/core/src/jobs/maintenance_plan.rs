//! Choice of the next instance of a maintenance wave to evacuate.
//!
//! Load pattern: a maintenance wave at the peak of a demand surge. Instances with long-running
//! tasks that their disruption budgets allow to be stopped go first, then those with the least
//! work. The number of instances that are evacuating or in maintenance is limited by the wave.
//! While tasks wait for capacity, it is reduced to what is needed to complete the wave in time.

use std::time::Duration;

use crate::ids::InstanceName;

/// Number of instances that are evacuated beyond the wave's limit, so that the next one is ready
/// when another returns from maintenance.
const EVACUATED_AHEAD: usize = 1;

/// Time that an instance takes in a wave: moving its long-running tasks away one after another, and
/// the maintenance itself, which takes 2 s.
const INSTANCE_TIME: Duration = Duration::from_secs(5);

/// Fraction of the wave's time that is reserved for delays.
const RESERVE_SHARE: f64 = 0.2;

/// Maintenance of a set of instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// Instances to maintain.
    pub instances: Vec<InstanceName>,
    /// Time within which all instances must be maintained, from the announcement of the wave.
    pub complete_by: Duration,
    /// Maximum number of instances in maintenance at once.
    pub limit: usize,
}

/// Instance that waits for maintenance.
#[derive(Debug, Clone)]
pub struct MaintenanceCandidate {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Whether the list of workers lacks the instance's worker. It may be lost, and the instance
    /// counts as empty only when the leases of its tasks have passed.
    pub is_unlisted: bool,
    /// Whether the instance is being evacuated already.
    pub is_evacuating: bool,
    /// Whether the disruption budget of a task on the instance does not allow to stop it now.
    pub is_blocked: bool,
    /// Whether no other worker of the pool accepts new tasks now, although the pool has others.
    pub is_last_usable: bool,
    /// Whether long-running tasks run on the instance. They are moved away a few at a time, so such
    /// an instance takes longer to evacuate, and it cannot move to another pool in the meantime.
    pub has_long_running: bool,
    /// CPU in use on the instance, in thousandths of a core.
    pub cpu_in_use: u64,
}

/// Returns how many instances of a wave may be evacuating or in maintenance at once.
///
/// `remaining` is the number of instances that are not maintained yet, `age` the time since the
/// wave was announced, if known, and `is_short` whether tasks wait for capacity or a pool has a
/// surge.
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
    let max = wave.limit.saturating_add(EVACUATED_AHEAD);
    let Some(age) = age.filter(|_| is_short) else {
        return max;
    };
    let left = wave.complete_by.mul_f64(1.0 - RESERVE_SHARE);
    let left = left.saturating_sub(age);
    let rounds = left.as_secs_f64() / INSTANCE_TIME.as_secs_f64();
    if rounds < 1.0 {
        return max;
    }
    ((remaining as f64 / rounds).ceil() as usize).min(max)
}

/// Returns the next instance to evacuate while `busy` instances are evacuating or in maintenance,
/// of at most `limit`. `may_leave` is asked in the order of preference whether the pool can do without
/// an instance.
#[must_use]
pub fn next_candidate(
    limit: usize,
    busy: usize,
    candidates: &[MaintenanceCandidate],
    may_leave: impl Fn(&MaintenanceCandidate) -> bool,
) -> Option<&MaintenanceCandidate> {
    if busy >= limit {
        return None;
    }
    let open = candidates.iter();
    let mut open: Vec<&MaintenanceCandidate> = open
        .filter(|candidate| !candidate.is_evacuating && !candidate.is_last_usable)
        .collect();
    open.sort_by_key(|candidate| {
        (
            candidate.is_unlisted,
            candidate.is_blocked,
            !candidate.has_long_running,
            candidate.cpu_in_use,
        )
    });
    open.into_iter().find(|candidate| may_leave(candidate))
}
