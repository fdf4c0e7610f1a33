use sha2::{Digest, Sha256};

use crate::fleet::{FleetState, MemberStep, WaveStatus};
use crate::ids::{InstanceName, PoolName};

/// Days within which every instance is maintained once.
pub const CYCLE_DAYS: u32 = 28;

/// Whether an instance is due on `day` by the standing schedule.
///
/// Each instance has a fixed day of the cycle, taken from a hash of its name, so that the work is
/// spread evenly. An instance that was missed on its day stays due until it is maintained.
#[must_use]
pub fn is_due(name: &InstanceName, maintained: u32, day: u32) -> bool {
    let slot = cycle_slot(name);
    let since_slot = (day % CYCLE_DAYS + CYCLE_DAYS - slot) % CYCLE_DAYS;
    day.checked_sub(since_slot)
        .is_some_and(|last_slot| maintained < last_slot)
}

/// Instances of the pool, or of all pools, that are due on `day` and in no unfinished wave.
#[must_use]
pub fn due_members(state: &FleetState, pool: Option<&PoolName>, day: u32) -> Vec<InstanceName> {
    let is_taken = |name: &InstanceName| {
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
        .filter(|(name, instance)| is_due(name, instance.maintained, day) && !is_taken(name))
        .map(|(name, _)| name.clone())
        .collect()
}

fn cycle_slot(name: &InstanceName) -> u32 {
    let hash = Sha256::digest(name.as_str());
    u32::from_be_bytes([hash[0], hash[1], hash[2], hash[3]]) % CYCLE_DAYS
}
