use std::collections::BTreeMap;

use crate::ids::PoolName;
use crate::time::TimePoint;

/// Last surge of a pool.
#[derive(Debug, Clone, Copy)]
struct SurgeRecord {
    started: TimePoint,
    /// Largest number of instances that it used; unknown until it has ended.
    size: Option<usize>,
}

/// Last surges of the pools, from which the next one is foreseen.
#[derive(Debug, Default)]
pub(super) struct SurgeHistory {
    records: BTreeMap<PoolName, SurgeRecord>,
}

impl SurgeHistory {
    /// Records the start of a surge.
    pub(super) fn record_start(&mut self, pool: &PoolName, started: TimePoint) {
        let size = self.records.get(pool).and_then(|record| record.size);
        let record = SurgeRecord { started, size };
        self.records.insert(pool.clone(), record);
    }

    /// Records the size of a surge that has ended.
    pub(super) fn record_size(&mut self, pool: &PoolName, size: usize) {
        if let Some(record) = self.records.get_mut(pool) {
            record.size = Some(size);
        }
    }

    /// Returns when the last surge of each pool started.
    pub(super) fn starts(&self) -> impl Iterator<Item = (&PoolName, TimePoint)> {
        let records = self.records.iter();
        records.map(|(pool, record)| (pool, record.started))
    }

    /// Returns the size of the last surge of a pool, or else the median of the other pools; `None`
    /// before the end of the first surge.
    pub(super) fn usual_size(&self, pool: &PoolName) -> Option<usize> {
        let own = self.records.get(pool).and_then(|record| record.size);
        own.or_else(|| {
            let records = self.records.values();
            let mut sizes: Vec<usize> = records.filter_map(|record| record.size).collect();
            sizes.sort_unstable();
            sizes.get(sizes.len() / 2).copied()
        })
    }

    /// Returns those of `pools` that are likely to surge next: the ones without a surge so far, or
    /// else the one whose last surge is the oldest.
    pub(super) fn next_pools<'a>(
        &self,
        pools: impl Iterator<Item = &'a PoolName>,
    ) -> Vec<&'a PoolName> {
        let start = |pool| self.records.get(pool).map(|record| record.started);
        let mut order: Vec<_> = pools.map(|pool| (start(pool), pool)).collect();
        order.sort_unstable();
        let never = order.iter().filter(|(start, _)| start.is_none()).count();
        let next = order.into_iter().take(never.max(1));
        next.map(|(_, pool)| pool).collect()
    }
}
