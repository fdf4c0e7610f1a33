//! Records for the store.

use super::JobDispatcher;
use crate::jobs::{JobId, JobRecord, WorkerKey};
use crate::time::TimePoint;

/// Rows of a write that the record of an ended job takes: the record, and the job and a request to
/// cancel it, which are removed.
const ROWS_OF_END: usize = 3;

/// Records to store together, and the ends that may be acknowledged afterwards.
#[derive(Debug, Default)]
pub struct RecordBatch {
    /// Jobs whose progress changed.
    pub records: Vec<(JobId, JobRecord)>,
    /// Highest end of each worker that these records cover.
    pub ends: Vec<(WorkerKey, u64)>,
}

impl JobDispatcher {
    /// Takes records that are not stored yet, as many as fit into `rows` rows of a write. Jobs that
    /// have ended come first, since their callers wait.
    ///
    /// Ends are acknowledged to workers only after all records that they changed are stored, since
    /// a worker forgets an acknowledged end.
    pub fn take_records(&mut self, rows: usize, unix_ms: u64) -> RecordBatch {
        self.take_writable_records(rows, unix_ms, |_| true)
    }

    /// The same for the records that `is_writable` admits, since a write that includes a part of the
    /// store that does not answer stores nothing.
    pub fn take_writable_records(
        &mut self,
        rows: usize,
        unix_ms: u64,
        is_writable: impl Fn(JobId) -> bool,
    ) -> RecordBatch {
        let mut batch = RecordBatch::default();
        let mut left = rows;
        while left >= ROWS_OF_END
            && let Some(id) = self.dirty.pop(&is_writable)
        {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.phase.is_final() && job.ended_ms == 0 {
                job.ended_ms = unix_ms;
            }
            left -= if job.phase.is_final() { ROWS_OF_END } else { 1 };
            batch.records.push((id, job.record()));
        }
        for (key, entry) in &self.workers {
            let covered = entry.unstored_ends.iter();
            let covered = covered.take_while(|(_, job)| !self.dirty.contains(job));
            if let Some((end, _)) = covered.last() {
                batch.ends.push((key, *end));
            }
        }
        batch
    }

    /// Whether the records that wait and that `is_writable` admits may need more than `rows` rows, as
    /// they do if all jobs have ended.
    #[must_use]
    pub fn has_backlog(&self, rows: usize, is_writable: impl Fn(JobId) -> bool) -> bool {
        self.dirty.count_writable(is_writable) * ROWS_OF_END > rows
    }

    /// Whether there is something to store or to acknowledge.
    #[must_use]
    pub fn has_records(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Notes that a batch is stored. Jobs that have ended are forgotten once nothing of them runs.
    pub fn note_stored(&mut self, batch: &RecordBatch, now: TimePoint) {
        for &(key, end) in &batch.ends {
            if let Some(entry) = self.workers.get_mut(key) {
                // A worker that was started again counts its ends anew.
                entry.stored_end = entry.stored_end.max(end.min(entry.processed_end));
                let stored = entry.stored_end;
                while entry
                    .unstored_ends
                    .pop_front_if(|(number, _)| *number <= stored)
                    .is_some()
                {}
            }
        }
        for (id, record) in &batch.records {
            if record.phase.is_final()
                && let Some(job) = self.jobs.get_mut(id)
            {
                job.is_end_stored = true;
                self.schedule_expiry(*id, now);
                self.forget_job(*id);
            }
        }
    }

    /// Notes a job whose end was stored at `at`. Its record expires after a time.
    pub fn schedule_expiry(&mut self, id: JobId, at: TimePoint) {
        if self.ended.insert(id) {
            let expiry = at.after(self.policy.ended_retention);
            self.expiring.push_back((expiry, id));
        }
    }

    /// Takes at most `limit` jobs whose records have expired.
    pub fn take_expired(&mut self, limit: usize, now: TimePoint) -> Vec<JobId> {
        let mut expired = Vec::new();
        while expired.len() < limit
            && let Some((_, id)) = self.expiring.pop_front_if(|(expiry, _)| *expiry <= now)
        {
            self.ended.remove(&id);
            expired.push(id);
        }
        expired
    }

    /// Puts the records of a batch that was not stored back.
    pub fn requeue_records(&mut self, batch: &RecordBatch) {
        for (id, record) in &batch.records {
            self.dirty.insert(*id, record.phase.is_final());
        }
    }

    /// Forgets a job whose end is stored, once nothing of it runs.
    fn forget_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut tasks = job
            .occurrences
            .iter()
            .flat_map(|entry| entry.steps.iter().flat_map(|step| &step.tasks));
        if tasks.all(|task| task.runs.is_empty()) && !self.dirty.contains(&id) {
            self.jobs.remove(&id);
            self.arrivals.remove(&id);
        }
    }

    /// Forgets ended jobs whose last run has gone since their record was stored.
    pub(super) fn forget_ended(&mut self) {
        let ended = self.jobs.iter().filter(|(_, job)| job.is_end_stored);
        let ended: Vec<JobId> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.forget_job(id);
        }
    }
}
