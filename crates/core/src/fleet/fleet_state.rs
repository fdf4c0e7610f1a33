use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::apply_change::RecordEditor;
use super::state_index::StateIndex;
use super::{
    ApplyError, ApplyLimits, ChangeRecord, InstanceRecord, KeyRecord, PoolCount, PoolRecord,
    QueueRecord, SessionView, SheetRecord, TeamRecord, WaveRecord,
};
use crate::ids::{Generation, InstanceName, KeyId, PoolName, QueueName, TeamName, WaveName};

/// Agreed state of the fleet at one generation.
///
/// The maps are public for reading. After the first record they may be changed by `apply` only,
/// because counts derived from them are kept alongside.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetState {
    /// Generation of the last record applied.
    pub generation: Generation,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, PoolRecord>,
    /// Pools that are removed once they have no instances.
    #[serde(default)]
    pub closing: BTreeSet<PoolName>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamRecord>,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, QueueRecord>,
    /// Keys by id, withdrawn ones included.
    pub keys: BTreeMap<KeyId, KeyRecord>,
    /// Instances by name.
    pub instances: BTreeMap<InstanceName, InstanceRecord>,
    /// Sessions among which units are allocated.
    pub view: SessionView,
    /// Sheet in force.
    #[serde(default)]
    pub sheet: Option<SheetRecord>,
    /// Maintenance waves by name.
    #[serde(default)]
    pub waves: BTreeMap<WaveName, WaveRecord>,
    #[serde(skip)]
    pub(super) index: StateIndex,
}

impl FleetState {
    /// Creates a state without pools, teams and instances, at a generation and with a view.
    #[must_use]
    pub fn with_view(generation: Generation, view: SessionView) -> Self {
        Self {
            generation,
            view,
            ..Self::default()
        }
    }

    /// Applies a record as a whole; on an error the state is unchanged.
    ///
    /// The cost is proportional to the record. The first call after deserialization also scans
    /// the state once.
    ///
    /// # Errors
    ///
    /// Returns the first reason why the record cannot be applied.
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
        RecordEditor::new(self, record.generation).apply_all(&record.changes)?;
        self.generation = record.generation;
        Ok(())
    }

    /// Number of instances of the pool that are out of service.
    #[must_use]
    pub fn unavailable(&self, pool: &PoolName) -> usize {
        self.pool_count(pool).unavailable as usize
    }

    /// Counts of a pool.
    #[must_use]
    pub fn pool_count(&self, pool: &PoolName) -> PoolCount {
        if self.index.built {
            self.index.count(pool)
        } else {
            StateIndex::with_state(self).count(pool)
        }
    }

    /// Number of further planned actions that the pool's availability budget allows.
    #[must_use]
    pub fn headroom(&self, pool: &PoolName) -> u32 {
        self.pools.get(pool).map_or(0, |record| {
            record
                .max_unavailable
                .saturating_sub(self.pool_count(pool).unavailable)
        })
    }

    /// Name of the spare pool, if there is one.
    #[must_use]
    pub fn spare_pool(&self) -> Option<&PoolName> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.spare)
            .map(|(name, _)| name)
    }
}
