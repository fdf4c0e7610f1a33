use std::ops::{Index, IndexMut};
use std::sync::atomic::{AtomicU64, Ordering};

use slotmap::SlotMap;

use super::{JobKey, JobRecord};

/// The jobs of a scheduler, which counts the records that it hands out.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    records: SlotMap<JobKey, JobRecord>,
    accesses: AtomicU64,
}

impl JobTable {
    /// Adds a job.
    pub(crate) fn insert(&mut self, record: JobRecord) -> JobKey {
        self.count();
        self.records.insert(record)
    }

    /// Removes a job.
    pub(crate) fn remove(&mut self, key: JobKey) -> Option<JobRecord> {
        self.count();
        self.records.remove(key)
    }

    /// The record of a job.
    pub(crate) fn get(&self, key: JobKey) -> Option<&JobRecord> {
        self.count();
        self.records.get(key)
    }

    /// The record of a job, to be changed.
    pub(crate) fn get_mut(&mut self, key: JobKey) -> Option<&mut JobRecord> {
        self.count();
        self.records.get_mut(key)
    }

    /// All jobs.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobKey, &JobRecord)> {
        self.records.iter().inspect(|_| self.count())
    }

    /// Number of jobs.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Records handed out so far.
    pub(crate) fn accesses(&self) -> u64 {
        self.accesses.load(Ordering::Relaxed)
    }

    fn count(&self) {
        // Only the owner of the scheduler calls it, so that no locked instruction is needed.
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
