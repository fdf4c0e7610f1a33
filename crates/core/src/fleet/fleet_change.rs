use serde::{Deserialize, Serialize};

use super::{
    InstanceRecord, InstanceState, KeyRecord, PoolRecord, QueueRecord, SessionView, TeamRecord,
};
use crate::ids::{InstanceName, KeyId, PoolName, QueueName, TeamName};

/// A change of the agreed state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum FleetChange {
    /// Creates or replaces a pool.
    PutPool {
        /// Name of the pool.
        name: PoolName,
        /// New settings.
        pool: PoolRecord,
    },
    /// Removes a pool without instances.
    RemovePool {
        /// Name of the pool.
        name: PoolName,
    },
    /// Creates or replaces a team.
    PutTeam {
        /// Name of the team.
        name: TeamName,
        /// New settings.
        team: TeamRecord,
    },
    /// Removes a team; its keys are withdrawn.
    RemoveTeam {
        /// Name of the team.
        name: TeamName,
    },
    /// Creates or replaces a queue.
    PutQueue {
        /// Name of the queue.
        name: QueueName,
        /// New settings.
        queue: QueueRecord,
    },
    /// Removes a queue.
    RemoveQueue {
        /// Name of the queue.
        name: QueueName,
    },
    /// Grants a key. Key ids are used once.
    GrantKey {
        /// Identifier of the key.
        id: KeyId,
        /// Team and hashed secret.
        key: KeyRecord,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Identifier of the key.
        id: KeyId,
    },
    /// Registers an instance or replaces its description.
    PutInstance {
        /// Platform name of the instance.
        name: InstanceName,
        /// Its description.
        instance: InstanceRecord,
    },
    /// Changes the state of an instance.
    SetInstanceState {
        /// Platform name of the instance.
        name: InstanceName,
        /// Its new state.
        state: InstanceState,
    },
    /// Puts a moving instance into its new pool and makes it active.
    AssignInstance {
        /// Platform name of the instance.
        name: InstanceName,
        /// Its new pool.
        pool: PoolName,
    },
    /// Removes an instance that the platform no longer lists.
    RemoveInstance {
        /// Platform name of the instance.
        name: InstanceName,
    },
    /// Sets the sessions among which units are allocated.
    SetView {
        /// The new view.
        view: SessionView,
    },
}
