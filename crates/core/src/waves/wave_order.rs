use std::collections::BTreeMap;

use crate::fleet::{FleetState, MemberStep, WaveRecord};
use crate::ids::{InstanceName, PoolName};

/// Returns the pending members of a wave to take out of service next, at most `allowed` per pool.
///
/// Each pool proceeds by zone and rack. A pool does not wait for the other pools at the end of a
/// zone, because that would leave budget unused and lengthen the roll-out.
#[must_use]
pub fn next_members(
    state: &FleetState,
    wave: &WaveRecord,
    allowed: &BTreeMap<PoolName, u32>,
) -> Vec<InstanceName> {
    let mut pending: BTreeMap<&PoolName, Vec<_>> = BTreeMap::new();
    for (name, step) in &wave.members {
        let (MemberStep::Pending, Some(instance)) = (step, state.instances.get(name)) else {
            continue;
        };
        if instance.state.is_active() {
            let location = (&instance.zone, &instance.rack, name);
            pending.entry(&instance.pool).or_default().push(location);
        }
    }
    let mut next = Vec::new();
    for (pool, mut locations) in pending {
        let count = allowed.get(pool).copied().unwrap_or_default() as usize;
        if count == 0 {
            continue;
        }
        locations.sort_unstable();
        next.extend(
            locations
                .into_iter()
                .take(count)
                .map(|location| location.2.clone()),
        );
    }
    next
}
