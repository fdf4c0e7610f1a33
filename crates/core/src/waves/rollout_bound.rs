use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::FleetState;
use crate::ids::{InstanceName, PoolName};

/// Returns the shortest time in which the availability budgets allow all `members` to be taken out
/// of service, if each is out for `out_time`.
///
/// Returns `None` if a pool has members and no budget.
#[must_use]
pub fn rollout_bound<'a>(
    state: &FleetState,
    members: impl IntoIterator<Item = &'a InstanceName>,
    out_time: Duration,
) -> Option<Duration> {
    let mut counts: BTreeMap<&PoolName, u32> = BTreeMap::new();
    for name in members {
        if let Some(instance) = state.instances.get(name) {
            *counts.entry(&instance.pool).or_default() += 1;
        }
    }
    let mut rounds = 0;
    for (pool, count) in counts {
        let budget = state.pools.get(pool).map_or(0, |pool| pool.max_unavailable);
        if budget == 0 {
            return None;
        }
        rounds = rounds.max(count.div_ceil(budget));
    }
    Some(out_time * rounds)
}
