use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::apply_change::RecordApplier;
use super::state_index::StateIndex;
use super::{
    ApplyError, ApplyLimits, ChangeRecord, EvacuationRecord, InstanceRecord, KeyRecord, PoolCount,
    PoolRecord, QueueRecord, SessionView, SheetRecord, TeamRecord, WaveRecord,
};
use crate::ids::{
    Generation, InstanceName, KeyId, PoolName, QueueName, TeamName, WaveName, ZoneName,
};

/// Replicated state of the fleet at one generation.
///
/// The maps are public for reading. After the first record only `apply` may modify them, because
/// it also updates an index of counts derived from them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// Generation of the last record applied.
    pub generation: Generation,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, PoolRecord>,
    /// Pools marked for removal once they have no instances.
    #[serde(default)]
    pub closing: BTreeSet<PoolName>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamRecord>,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, QueueRecord>,
    /// Keys by id, including withdrawn ones.
    pub keys: BTreeMap<KeyId, KeyRecord>,
    /// Instances by name.
    pub instances: BTreeMap<InstanceName, InstanceRecord>,
    /// Sessions among which worker slots and team permits are divided.
    pub view: SessionView,
    /// Sheet in force, if any.
    #[serde(default)]
    pub sheet: Option<SheetRecord>,
    /// Maintenance waves by name.
    #[serde(default)]
    pub waves: BTreeMap<WaveName, WaveRecord>,
    /// Availability zones in which nothing more may start. Left out when empty, so that a state
    /// without a request has the form that earlier versions write.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub evacuations: BTreeMap<ZoneName, EvacuationRecord>,
    #[serde(skip)]
    pub(super) index: StateIndex,
}

impl FleetState {
    /// Creates a state with the given generation and view and no other objects.
    #[must_use]
    pub fn with_view(generation: Generation, view: SessionView) -> Self {
        Self {
            generation,
            view,
            ..Self::default()
        }
    }

    /// Applies a record atomically. On an error, the state is unchanged.
    ///
    /// The cost is proportional to the size of the record. The first call after deserialization
    /// also scans the whole state to build the index, and a request to evacuate or reopen a zone may
    /// scan the instances.
    ///
    /// # Errors
    ///
    /// Returns the error of the first change that cannot be applied.
    pub fn apply(&mut self, record: &ChangeRecord) -> Result<(), ApplyError> {
        if record.generation != self.generation.next() {
            return Err(ApplyError::OutOfOrder {
                current: self.generation,
                found: record.generation,
            });
        }
        if record.changes.len() > ApplyLimits::CHANGES {
            return Err(ApplyError::TooMany {
                what: "changes in one record",
                limit: ApplyLimits::CHANGES,
            });
        }
        if !self.index.built {
            self.index = StateIndex::with_state(self);
        }
        RecordApplier::new(self, record.generation).apply_all(&record.changes)?;
        self.generation = record.generation;
        Ok(())
    }

    /// Returns the number of instances of the pool that are out of service.
    #[must_use]
    pub fn unavailable(&self, pool: &PoolName) -> usize {
        self.pool_count(pool).unavailable as usize
    }

    /// Returns the object counts of a pool, all zero if the pool has no objects.
    #[must_use]
    pub fn pool_count(&self, pool: &PoolName) -> PoolCount {
        if self.index.built {
            self.index.count(pool)
        } else {
            StateIndex::with_state(self).count(pool)
        }
    }

    /// Returns how many more instances the pool's availability budget allows planned actions to
    /// take out of service.
    #[must_use]
    pub fn headroom(&self, pool: &PoolName) -> u32 {
        self.pools.get(pool).map_or(0, |record| {
            record
                .max_unavailable
                .saturating_sub(self.pool_count(pool).unavailable)
        })
    }

    /// Whether nothing more may start in an availability zone.
    #[must_use]
    pub fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuations.contains_key(zone)
    }

    /// Returns the name of the spare pool, if there is one.
    #[must_use]
    pub fn spare_pool(&self) -> Option<&PoolName> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.spare)
            .map(|(name, _)| name)
    }
}
