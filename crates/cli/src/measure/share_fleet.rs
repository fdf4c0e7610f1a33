use sesamedeal_core::fleet::{FleetChange, FleetState, KeyRecord, OPEN_TEAM};
use sesamedeal_core::ids::{KeyId, PoolName, TeamName};

use super::user_profile::{UserProfile, apply};
use crate::error::Result;

/// A team and the pools that it sends jobs to.
#[derive(Debug, Clone)]
pub(super) struct TeamProfile {
    pub(super) name: TeamName,
    pub(super) key: Option<KeyId>,
    pub(super) share: u32,
    pub(super) limit: u32,
    /// Whether the team sends jobs to each pool.
    pub(super) pools: Vec<bool>,
}

/// A pool that runs jobs.
#[derive(Debug, Clone)]
pub(super) struct PoolProfile {
    pub(super) name: PoolName,
    pub(super) slots: u32,
}

/// Fleet with keys, and the teams and pools of the load.
#[derive(Debug, Clone)]
pub(super) struct ShareFleet {
    pub(super) state: FleetState,
    pub(super) teams: Vec<TeamProfile>,
    pub(super) pools: Vec<PoolProfile>,
}

impl ShareFleet {
    /// Creates the fleet of a user at midnight. A team with a key sends jobs to the pools with a
    /// queue that needs one, the team of open queues to the pools with an open queue.
    pub(super) fn new(profile: &UserProfile) -> Result<Self> {
        let mut state = profile.fleet()?;
        let keys = state
            .teams
            .keys()
            .map(|team| FleetChange::GrantKey {
                id: key_id(team),
                key: KeyRecord {
                    team: team.clone(),
                    hash: [0; 32],
                    withdrawn: false,
                },
            })
            .collect();
        apply(&mut state, keys)?;
        let pools: Vec<PoolProfile> = state
            .pools
            .iter()
            .filter(|(_, pool)| !pool.spare)
            .map(|(name, _)| PoolProfile {
                name: name.clone(),
                slots: slots_of(&state, name),
            })
            .collect();
        let teams = state
            .teams
            .iter()
            .map(|(name, record)| {
                let is_open = name.as_str() == OPEN_TEAM;
                let uses = |pool: &PoolProfile| {
                    let mut queues = state.queues.values();
                    queues.any(|queue| queue.pool == pool.name && queue.open == is_open)
                };
                TeamProfile {
                    name: name.clone(),
                    key: (!is_open).then(|| key_id(name)),
                    share: record.share,
                    limit: record.limit,
                    pools: pools.iter().map(uses).collect(),
                }
            })
            .collect();
        Ok(Self {
            state,
            teams,
            pools,
        })
    }

    /// Weights of the teams that send jobs to a pool; 0 for the others.
    pub(super) fn weights(&self, pool: usize) -> Vec<f64> {
        let weight = |team: &TeamProfile| f64::from(u32::from(team.pools[pool]) * team.share);
        self.teams.iter().map(weight).collect()
    }
}

fn key_id(team: &TeamName) -> KeyId {
    KeyId::new(format!("key-{}", team.as_str()))
}

fn slots_of(state: &FleetState, pool: &PoolName) -> u32 {
    let instances = state.instances.values();
    instances
        .filter(|instance| instance.pool == *pool)
        .map(|instance| instance.slots)
        .sum()
}
