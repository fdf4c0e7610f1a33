use std::collections::HashMap;

use super::pool_entry::PoolEntry;
use super::team_entry::TeamEntry;
use super::{KeyIndex, PoolIndex, TeamIndex, WorkerIndex};
use crate::exchange::name_hash;
use crate::fleet::SessionView;
use crate::ids::{Generation, InstanceName, KeyId, PoolName, TeamName};
use crate::placement::{PlacementState, WorkerRecord};
use crate::time::TimePoint;

/// Arenas of the applied fleet state, with indexes by name.
#[derive(Debug, Default)]
pub(crate) struct FleetIndex {
    pub(crate) applied: Option<Generation>,
    pub(crate) settled: Generation,
    /// Time since which no further generation has settled although a newer one is applied.
    pub(crate) unsettled_since: Option<TimePoint>,
    /// Last generation that changed the view, or that may have changed it.
    pub(crate) view_changed: Generation,
    pub(crate) view: SessionView,
    pub(crate) teams: Vec<TeamEntry>,
    pub(crate) pools: Vec<PoolEntry>,
    pub(crate) workers: Vec<WorkerRecord>,
    /// Data on which worker selection is based, by worker.
    pub(crate) placement: Vec<PlacementState>,
    /// Workers of the fleet state, sorted by name.
    pub(crate) order: Vec<WorkerIndex>,
    /// Workers that are no longer in the fleet state.
    pub(crate) removed: Vec<WorkerIndex>,
    /// Free positions in `workers`.
    pub(crate) vacant: Vec<WorkerIndex>,
    pub(crate) team_names: HashMap<TeamName, TeamIndex>,
    pub(crate) pool_names: HashMap<PoolName, PoolIndex>,
    pub(crate) worker_names: HashMap<InstanceName, WorkerIndex>,
    pub(crate) team_hashes: HashMap<u32, TeamIndex>,
    pub(crate) pool_hashes: HashMap<u32, PoolIndex>,
    /// Valid keys.
    pub(crate) keys: HashMap<KeyId, KeyIndex>,
    /// Teams of the valid keys.
    pub(crate) key_teams: Vec<Option<TeamIndex>>,
}

impl FleetIndex {
    /// Returns the applied generation, or zero if there is none.
    pub(crate) fn generation(&self) -> Generation {
        self.applied.unwrap_or(Generation::ZERO)
    }

    /// Whether the settled generation is newer than the applied one. Peers may then already own
    /// units that this entry instance owned under its applied generation.
    pub(crate) fn is_behind(&self) -> bool {
        self.applied.is_none_or(|applied| applied < self.settled)
    }

    /// Returns the index of a team, which is created if it is new.
    pub(crate) fn team(&mut self, name: &TeamName) -> TeamIndex {
        if let Some(index) = self.team_names.get(name) {
            return *index;
        }
        let index = TeamIndex::with_position(self.teams.len());
        self.teams.push(TeamEntry::new(name.clone()));
        self.team_names.insert(name.clone(), index);
        self.team_hashes.insert(name_hash(name.as_str()), index);
        index
    }

    /// Returns the index of a pool, which is created if it is new.
    pub(crate) fn pool(&mut self, name: &PoolName) -> PoolIndex {
        if let Some(index) = self.pool_names.get(name) {
            return *index;
        }
        let index = PoolIndex::with_position(self.pools.len());
        self.pools.push(PoolEntry::new(name.clone()));
        self.pool_names.insert(name.clone(), index);
        self.pool_hashes.insert(name_hash(name.as_str()), index);
        index
    }

    /// Whether a key is granted to the team and not withdrawn.
    pub(crate) fn is_key_valid(&self, key: KeyIndex, team: TeamIndex) -> bool {
        self.key_teams[key.at()] == Some(team)
    }
}
