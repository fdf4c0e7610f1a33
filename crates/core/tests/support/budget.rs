//! Independent check of the availability budgets by counting the instances.

use std::collections::BTreeMap;

use sesamedeal_core::fleet::{FleetChange, FleetState, InstanceState};

/// Checks that no planned change of a record takes more instances out of service than the budget of
/// the pool allows at that point.
pub fn check_budgets(before: &FleetState, changes: &[FleetChange]) {
    let mut states: BTreeMap<_, _> = before
        .instances
        .iter()
        .map(|(name, instance)| (name, (&instance.pool, &instance.state)))
        .collect();
    let mut budgets: BTreeMap<_, _> = before
        .pools
        .iter()
        .map(|(name, pool)| (name, pool.max_unavailable as usize))
        .collect();
    for change in changes {
        match change {
            FleetChange::PutPool { name, pool } => {
                budgets.insert(name, pool.max_unavailable as usize);
            }
            FleetChange::PutInstance { name, instance } => {
                states.insert(name, (&instance.pool, &instance.state));
            }
            FleetChange::RemoveInstance { name } => {
                states.remove(name);
            }
            FleetChange::AssignInstance { name, pool } => {
                states.insert(name, (pool, &InstanceState::Active));
            }
            FleetChange::SetInstanceState { name, state } => {
                let pool = states[name].0;
                states.insert(name, (pool, state));
                let is_planned = matches!(
                    state,
                    InstanceState::Draining
                        | InstanceState::Quarantined
                        | InstanceState::Moving { .. }
                );
                let inactive = states
                    .values()
                    .filter(|one| one.0 == pool && !one.1.is_active());
                assert!(
                    !is_planned || inactive.count() <= budgets[pool],
                    "{change:?}"
                );
            }
            _ => {}
        }
    }
}
