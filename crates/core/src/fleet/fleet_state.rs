use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

use super::{
    ChangeRecord, FleetChange, InstanceRecord, InstanceState, KeyRecord, PoolRecord, QueueRecord,
    SessionView, TeamRecord,
};
use crate::ids::{Generation, InstanceName, KeyId, PoolName, QueueName, TeamName};

/// Agreed state of the fleet at one generation.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// Generation of the last record applied.
    pub generation: Generation,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, PoolRecord>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamRecord>,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, QueueRecord>,
    /// Keys by id, withdrawn ones included.
    pub keys: BTreeMap<KeyId, KeyRecord>,
    /// Instances by name.
    pub instances: BTreeMap<InstanceName, InstanceRecord>,
    /// Sessions among which units are dealt.
    pub view: SessionView,
}

/// Reason why a record cannot be applied.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// The record does not follow the state's generation.
    #[snafu(display("record of generation {found} does not follow generation {current}"))]
    OutOfOrder {
        /// Generation of the state.
        current: Generation,
        /// Generation of the record.
        found: Generation,
    },
    /// A change names something that does not exist.
    #[snafu(display("{what} {name} does not exist"))]
    Missing {
        /// Kind of the thing.
        what: &'static str,
        /// Its name.
        name: String,
    },
    /// A key id was granted before.
    #[snafu(display("key id {id} was granted before; key ids are used once"))]
    KeyIdUsed {
        /// The key id.
        id: KeyId,
    },
    /// The pool still has instances.
    #[snafu(display("pool {name} still has instances"))]
    PoolInUse {
        /// Name of the pool.
        name: PoolName,
    },
    /// The change takes more instances out of service than the pool's availability budget allows.
    #[snafu(display("pool {name} has no availability budget left"))]
    BudgetExceeded {
        /// Name of the pool.
        name: PoolName,
    },
}

impl FleetState {
    /// Applies a record as a whole; on an error the state is unchanged.
    ///
    /// # Errors
    ///
    /// Returns the first reason why the record cannot be applied.
    pub fn apply(&mut self, record: &ChangeRecord) -> Result<(), ApplyError> {
        if record.generation != self.generation.next() {
            return OutOfOrderSnafu {
                current: self.generation,
                found: record.generation,
            }
            .fail();
        }
        let mut next = self.clone();
        for change in &record.changes {
            next.apply_change(change)?;
        }
        next.generation = record.generation;
        *self = next;
        Ok(())
    }

    /// Number of instances of the pool that are out of service.
    #[must_use]
    pub fn unavailable(&self, pool: &PoolName) -> usize {
        self.instances
            .values()
            .filter(|instance| instance.pool == *pool && !instance.state.is_active())
            .count()
    }

    fn apply_change(&mut self, change: &FleetChange) -> Result<(), ApplyError> {
        match change {
            FleetChange::PutPool { name, pool } => {
                self.pools.insert(name.clone(), pool.clone());
            }
            FleetChange::RemovePool { name } => {
                if self
                    .instances
                    .values()
                    .any(|instance| instance.pool == *name)
                {
                    return PoolInUseSnafu { name: name.clone() }.fail();
                }
                self.pools.remove(name);
            }
            FleetChange::PutTeam { name, team } => {
                self.teams.insert(name.clone(), team.clone());
            }
            FleetChange::RemoveTeam { name } => {
                self.teams.remove(name);
                for key in self.keys.values_mut().filter(|key| key.team == *name) {
                    key.withdrawn = true;
                }
            }
            FleetChange::PutQueue { name, queue } => {
                self.queues.insert(name.clone(), queue.clone());
            }
            FleetChange::RemoveQueue { name } => {
                self.queues.remove(name);
            }
            FleetChange::GrantKey { id, key } => {
                if self.keys.contains_key(id) {
                    return KeyIdUsedSnafu { id: id.clone() }.fail();
                }
                self.keys.insert(id.clone(), key.clone());
            }
            FleetChange::WithdrawKey { id } => {
                let key = self
                    .keys
                    .get_mut(id)
                    .ok_or_else(|| missing("key", id.as_str()))?;
                key.withdrawn = true;
            }
            FleetChange::PutInstance { name, instance } => {
                self.instances.insert(name.clone(), instance.clone());
            }
            FleetChange::SetInstanceState { name, state } => {
                self.instance_mut(name)?.state = state.clone();
            }
            FleetChange::AssignInstance { name, pool } => {
                if !self.pools.contains_key(pool) {
                    return Err(missing("pool", pool.as_str()));
                }
                let instance = self.instance_mut(name)?;
                instance.pool = pool.clone();
                instance.state = InstanceState::Active;
            }
            FleetChange::RemoveInstance { name } => {
                self.instances.remove(name);
            }
            FleetChange::SetView { view } => self.view = view.clone(),
        }
        Ok(())
    }

    fn instance_mut(&mut self, name: &InstanceName) -> Result<&mut InstanceRecord, ApplyError> {
        self.instances
            .get_mut(name)
            .ok_or_else(|| missing("instance", name.as_str()))
    }
}

fn missing(what: &'static str, name: &str) -> ApplyError {
    ApplyError::Missing {
        what,
        name: name.to_owned(),
    }
}
