use std::collections::{BTreeMap, BTreeSet};

use super::{ControlInput, ControlPolicy, ControlStep};
use crate::fleet::{FleetChange, InstanceRecord, InstanceState};
use crate::ids::{InstanceName, PoolName, WaveName};

/// Builder for the result of a step.
///
/// Counts the unavailable instances of each pool, including the changes in the draft, so that the
/// resulting record stays within the availability budgets.
#[derive(Debug)]
pub(super) struct StepDraft<'a> {
    pub(super) input: ControlInput<'a>,
    pub(super) policy: &'a ControlPolicy,
    pub(super) step: ControlStep,
    unavailable: BTreeMap<&'a PoolName, u32>,
    touched: BTreeSet<InstanceName>,
    /// Instances that have completed a reboot, as detected in this step.
    pub(super) rebooted: BTreeSet<InstanceName>,
    /// Waves halted in this step.
    pub(super) halted: BTreeSet<WaveName>,
}

impl<'a> StepDraft<'a> {
    pub(super) fn new(input: ControlInput<'a>, policy: &'a ControlPolicy) -> Self {
        let mut unavailable: BTreeMap<&PoolName, u32> = BTreeMap::new();
        for instance in input.state.instances.values() {
            if !instance.state.is_active() {
                *unavailable.entry(&instance.pool).or_default() += 1;
            }
        }
        Self {
            input,
            policy,
            step: ControlStep {
                settled: input.settled,
                ..ControlStep::default()
            },
            unavailable,
            touched: BTreeSet::new(),
            rebooted: BTreeSet::new(),
            halted: BTreeSet::new(),
        }
    }

    /// Whether the draft already changes the state or pool of the instance.
    pub(super) fn is_touched(&self, name: &InstanceName) -> bool {
        self.touched.contains(name)
    }

    /// Adds a change of the instance's state and updates the unavailable count of its pool.
    pub(super) fn set_state(
        &mut self,
        name: &InstanceName,
        instance: &'a InstanceRecord,
        state: InstanceState,
    ) {
        let count = self.unavailable.entry(&instance.pool).or_default();
        match (instance.state.is_active(), state.is_active()) {
            (true, false) => *count += 1,
            (false, true) => *count = count.saturating_sub(1),
            _ => {}
        }
        self.touched.insert(name.clone());
        self.step.changes.push(FleetChange::SetInstanceState {
            name: name.clone(),
            state,
        });
    }

    /// Adds the completion of a move and updates the unavailable count of the old pool.
    pub(super) fn assign(
        &mut self,
        name: &InstanceName,
        instance: &'a InstanceRecord,
        pool: &PoolName,
    ) {
        let count = self.unavailable.entry(&instance.pool).or_default();
        *count = count.saturating_sub(1);
        self.touched.insert(name.clone());
        self.step.changes.push(FleetChange::AssignInstance {
            name: name.clone(),
            pool: pool.clone(),
        });
    }

    /// Adds the removal of a failed instance and updates the unavailable count of its pool.
    pub(super) fn remove(&mut self, name: &InstanceName, instance: &'a InstanceRecord) {
        let count = self.unavailable.entry(&instance.pool).or_default();
        *count = count.saturating_sub(1);
        self.touched.insert(name.clone());
        self.step
            .changes
            .push(FleetChange::RemoveInstance { name: name.clone() });
    }

    /// Returns the number of planned actions that the pool's budget still allows.
    pub(super) fn headroom(&self, pool: &PoolName) -> u32 {
        let used = self.unavailable.get(pool).copied().unwrap_or_default();
        self.input
            .state
            .pools
            .get(pool)
            .map_or(0, |record| record.max_unavailable.saturating_sub(used))
    }

    /// Returns the number of planned actions that each pool's budget still allows.
    pub(super) fn all_headroom(&self) -> BTreeMap<PoolName, u32> {
        let pools = self.input.state.pools.keys();
        pools
            .map(|name| (name.clone(), self.headroom(name)))
            .collect()
    }
}
