use std::collections::{BTreeMap, BTreeSet};

use super::{FleetState, InstanceRecord, InstanceState};
use crate::ids::{KeyId, PoolName, TeamName};

/// Object counts of one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolCount {
    /// Instances that belong to the pool.
    pub instances: u32,
    /// Instances of the pool that are out of service.
    pub unavailable: u32,
    /// Instances of other pools that are moving to the pool.
    pub arriving: u32,
    /// Queues whose jobs run in the pool.
    pub queues: u32,
}

/// Counts and key ids derived from the maps of the state, used to check a change without a scan.
///
/// The index is not serialized. `FleetState::apply` builds it on the first call after
/// deserialization. Two indexes always compare equal, so the equality of states does not depend on
/// whether the index is built.
#[derive(Debug, Clone, Default)]
pub(super) struct StateIndex {
    pub(super) built: bool,
    pub(super) pools: BTreeMap<PoolName, PoolCount>,
    pub(super) team_keys: BTreeMap<TeamName, BTreeSet<KeyId>>,
}

impl PartialEq for StateIndex {
    fn eq(&self, _other: &Self) -> bool {
        true
    }
}

impl Eq for StateIndex {}

impl StateIndex {
    pub(super) fn with_state(state: &FleetState) -> Self {
        let mut index = Self {
            built: true,
            ..Self::default()
        };
        for instance in state.instances.values() {
            index.add_instance(instance);
        }
        for queue in state.queues.values() {
            index.count_mut(&queue.pool).queues += 1;
        }
        for (id, key) in &state.keys {
            index.add_key(id, &key.team);
        }
        index
    }

    pub(super) fn count(&self, pool: &PoolName) -> PoolCount {
        self.pools.get(pool).copied().unwrap_or_default()
    }

    pub(super) fn count_mut(&mut self, pool: &PoolName) -> &mut PoolCount {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), PoolCount::default());
        }
        self.pools.get_mut(pool).expect("entry was just inserted")
    }

    pub(super) fn add_instance(&mut self, instance: &InstanceRecord) {
        let count = self.count_mut(&instance.pool);
        count.instances += 1;
        count.unavailable += u32::from(!instance.state.is_active());
        if let InstanceState::Moving { target } = &instance.state {
            self.count_mut(target).arriving += 1;
        }
    }

    pub(super) fn remove_instance(&mut self, instance: &InstanceRecord) {
        let count = self.count_mut(&instance.pool);
        count.instances -= 1;
        count.unavailable -= u32::from(!instance.state.is_active());
        if let InstanceState::Moving { target } = &instance.state {
            self.count_mut(target).arriving -= 1;
        }
    }

    pub(super) fn add_key(&mut self, id: &KeyId, team: &TeamName) {
        self.team_keys
            .entry(team.clone())
            .or_default()
            .insert(id.clone());
    }

    pub(super) fn remove_key(&mut self, id: &KeyId, team: &TeamName) {
        if let Some(keys) = self.team_keys.get_mut(team) {
            keys.remove(id);
        }
    }
}
