use std::ops::{Index, IndexMut};
use std::sync::atomic::{AtomicU64, Ordering};

use slotmap::SlotMap;

use super::{JobKey, JobRecord};

/// Jobs of a scheduler, with a counter of record accesses.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    records: SlotMap<JobKey, JobRecord>,
    accesses: AtomicU64,
}

impl JobTable {
    pub(crate) fn insert(&mut self, record: JobRecord) -> JobKey {
        self.count();
        self.records.insert(record)
    }

    pub(crate) fn remove(&mut self, key: JobKey) -> Option<JobRecord> {
        self.count();
        self.records.remove(key)
    }

    pub(crate) fn get(&self, key: JobKey) -> Option<&JobRecord> {
        self.count();
        self.records.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: JobKey) -> Option<&mut JobRecord> {
        self.count();
        self.records.get_mut(key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobKey, &JobRecord)> {
        self.records.iter().inspect(|_| self.count())
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of record accesses so far.
    pub(crate) fn accesses(&self) -> u64 {
        self.accesses.load(Ordering::Relaxed)
    }

    fn count(&self) {
        // Only the owner of the scheduler counts, so a load and a store are enough and avoid a
        // locked instruction.
        let accesses = self.accesses.load(Ordering::Relaxed);
        self.accesses.store(accesses + 1, Ordering::Relaxed);
    }
}

impl Index<JobKey> for JobTable {
    type Output = JobRecord;

    fn index(&self, key: JobKey) -> &JobRecord {
        self.count();
        &self.records[key]
    }
}

impl IndexMut<JobKey> for JobTable {
    fn index_mut(&mut self, key: JobKey) -> &mut JobRecord {
        self.count();
        &mut self.records[key]
    }
}
