use std::collections::BTreeMap;

use crate::fleet::{FleetState, MemberStep, WaveRecord};
use crate::ids::{InstanceName, PoolName};

/// Pending members of a wave to take out of service next, within `allowed` instances per pool.
///
/// Each pool proceeds by zone and rack. A pool does not wait for the others at the end of a zone:
/// that would leave budget unused and lengthen the roll-out.
#[must_use]
pub fn next_members(
    state: &FleetState,
    wave: &WaveRecord,
    allowed: &BTreeMap<PoolName, u32>,
) -> Vec<InstanceName> {
    let mut waiting: BTreeMap<&PoolName, Vec<_>> = BTreeMap::new();
    for (name, step) in &wave.members {
        let (MemberStep::Pending, Some(instance)) = (step, state.instances.get(name)) else {
            continue;
        };
        if instance.state.is_active() {
            let place = (&instance.zone, &instance.rack, name);
            waiting.entry(&instance.pool).or_default().push(place);
        }
    }
    let mut next = Vec::new();
    for (pool, mut places) in waiting {
        let count = allowed.get(pool).copied().unwrap_or_default() as usize;
        if count == 0 {
            continue;
        }
        places.sort_unstable();
        next.extend(places.into_iter().take(count).map(|place| place.2.clone()));
    }
    next
}
