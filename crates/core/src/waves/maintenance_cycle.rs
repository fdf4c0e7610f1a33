use sha2::{Digest, Sha256};

use crate::fleet::{FleetState, MemberStep, WaveStatus};
use crate::ids::{InstanceName, PoolName};

/// Length of the maintenance cycle in days. Each instance is maintained once per cycle.
pub const CYCLE_DAYS: u32 = 28;

/// Whether an instance that was last maintained on day `maintained` is due on `day`.
///
/// Each instance has a fixed day of the cycle, derived from a hash of its name, so that the
/// maintenance is spread evenly. An instance that was not maintained on its day stays due until it
/// is.
#[must_use]
pub fn is_due(name: &InstanceName, maintained: u32, day: u32) -> bool {
    let cycle_day = cycle_day(name);
    let days_since = (day % CYCLE_DAYS + CYCLE_DAYS - cycle_day) % CYCLE_DAYS;
    day.checked_sub(days_since)
        .is_some_and(|due_day| maintained < due_day)
}

/// Returns the instances of the pool, or of all pools, that are due on `day` and are not pending
/// or in work in an unfinished wave.
#[must_use]
pub fn due_members(state: &FleetState, pool: Option<&PoolName>, day: u32) -> Vec<InstanceName> {
    let is_in_wave = |name: &InstanceName| {
        state.waves.values().any(|wave| {
            wave.status != WaveStatus::Finished
                && matches!(
                    wave.members.get(name),
                    Some(MemberStep::Pending | MemberStep::Working)
                )
        })
    };
    state
        .instances
        .iter()
        .filter(|(_, instance)| pool.is_none_or(|pool| instance.pool == *pool))
        .filter(|(name, instance)| is_due(name, instance.maintained, day) && !is_in_wave(name))
        .map(|(name, _)| name.clone())
        .collect()
}

fn cycle_day(name: &InstanceName) -> u32 {
    let hash = Sha256::digest(name.as_str());
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]) % CYCLE_DAYS
}
