//! Batches of job records for the store.

use super::JobDispatcher;
use crate::jobs::{JobId, JobPhase, JobRecord, MAX_RECORD_BYTES, WorkerKey};
use crate::time::TimePoint;

/// Number of rows that storing an ended job takes in a write: its record is put, its order and a
/// request to cancel it are deleted.
const ROWS_PER_END: usize = 3;

/// Room for records in a write.
#[derive(Debug, Clone, Copy)]
pub struct WriteLimit {
    /// Maximum number of rows.
    pub rows: usize,
    /// Maximum size of the encoded records, in bytes. A single record may be larger.
    pub bytes: usize,
}

/// Records to store in one write, and the run ends that may be acknowledged afterwards.
#[derive(Debug, Default)]
pub struct RecordBatch {
    /// Records of the jobs that have changed.
    pub records: Vec<(JobId, JobRecord)>,
    /// Last end of each worker that the stored records cover with this batch.
    pub ends: Vec<CoveredEnd>,
}

/// Last end of a worker that the stored records cover.
#[derive(Debug, Clone, Copy)]
pub struct CoveredEnd {
    worker: WorkerKey,
    /// Boot that numbered the end. Each one counts from 1.
    boot: Option<u64>,
    number: u64,
}

impl JobDispatcher {
    /// Takes unstored records, as many as fit into a write of `rows` rows. Jobs that have ended
    /// come first, since their callers wait.
    ///
    /// Run ends are acknowledged to workers only after all records that they changed are stored,
    /// since a worker deletes acknowledged ends.
    pub fn take_records(&mut self, rows: usize, unix_ms: u64) -> RecordBatch {
        let bytes = usize::MAX;
        self.take_writable_records(WriteLimit { rows, bytes }, unix_ms, |_| true)
    }

    /// Does the same as [`Self::take_records`], but only for jobs for which `is_writable` is true.
    /// A write fails as a whole if it includes a partition of the store that does not answer.
    pub fn take_writable_records(
        &mut self,
        limit: WriteLimit,
        unix_ms: u64,
        is_writable: impl Fn(JobId) -> bool,
    ) -> RecordBatch {
        let mut batch = RecordBatch::default();
        let mut left = limit;
        while left.rows >= ROWS_PER_END
            && left.bytes > 0
            && let Some(id) = self.dirty.pop(&is_writable)
        {
            let Some(record) = self.final_record(id, unix_ms) else {
                continue;
            };
            let (rows, bytes) = (record_rows(&record), record.size_bound());
            let fits = rows <= left.rows && bytes <= left.bytes;
            if !fits && !batch.records.is_empty() {
                self.dirty.put_back(id, record.phase.is_final());
                break;
            }
            left.rows = left.rows.saturating_sub(rows);
            left.bytes = left.bytes.saturating_sub(bytes);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.stored_rows = job.stored_rows.max(record.row_count());
            }
            batch.records.push((id, record));
        }
        for (key, entry) in &self.workers {
            let covered = entry.unstored_ends.iter();
            // A worker forgets an acknowledged end, which counts only once its job is read.
            let covered = covered.take_while(|(_, job)| {
                !self.dirty.contains(job) && !self.is_unread(*job) && !self.has_kept_end(*job)
            });
            if let Some(&(number, _)) = covered.last() {
                batch.ends.push(CoveredEnd {
                    worker: key,
                    boot: entry.boot,
                    number,
                });
            }
        }
        batch
    }

    /// Returns the record of a job with the time of its end. A job whose record exceeds a write ends as
    /// failed, since neither its progress nor that of other jobs could be stored otherwise.
    fn final_record(&mut self, id: JobId, unix_ms: u64) -> Option<JobRecord> {
        let record = self.dated_record(id, unix_ms)?;
        let size = record.size_bound();
        if size <= MAX_RECORD_BYTES {
            return Some(record);
        }
        self.end_job(id, JobPhase::Failed);
        self.dirty.remove(id);
        self.oversized_jobs.push((id, size));
        self.dated_record(id, unix_ms)
    }

    fn dated_record(&mut self, id: JobId, unix_ms: u64) -> Option<JobRecord> {
        let job = self.jobs.get_mut(&id)?;
        if job.phase.is_final() && job.ended_ms == 0 {
            job.ended_ms = unix_ms;
        }
        self.record(id)
    }

    /// Takes the jobs that have ended since the last call because their record exceeds a write, with
    /// the upper bounds of its size, in bytes.
    pub fn take_oversized_jobs(&mut self) -> Vec<(JobId, usize)> {
        std::mem::take(&mut self.oversized_jobs)
    }

    /// Whether the unstored records for which `is_writable` is true may need more than `rows` rows,
    /// assuming that all their jobs have ended.
    #[must_use]
    pub fn has_backlog(&self, rows: usize, is_writable: impl Fn(JobId) -> bool) -> bool {
        self.dirty.count_writable(is_writable) * ROWS_PER_END > rows
    }

    /// Whether there are unstored records.
    #[must_use]
    pub fn has_records(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Marks a batch as stored. Removes jobs that have ended and have no runs left.
    pub fn note_stored(&mut self, batch: &RecordBatch, now: TimePoint) {
        for end in &batch.ends {
            let worker = self.workers.get_mut(end.worker);
            if let Some(entry) = worker.filter(|entry| entry.boot == end.boot) {
                entry.stored_end = entry.stored_end.max(end.number);
                let stored = entry.stored_end;
                while entry
                    .unstored_ends
                    .pop_front_if(|(number, _)| *number <= stored)
                    .is_some()
                {}
            }
        }
        for (id, record) in &batch.records {
            self.note_stored_crashes(*id, record);
            if record.phase.is_final()
                && let Some(job) = self.jobs.get_mut(id)
            {
                job.is_end_stored = true;
                self.schedule_expiry(*id, now);
                self.remove_if_unused(*id);
            }
        }
    }

    /// Schedules the expiry of the record of a job whose end was stored at `at`.
    pub fn schedule_expiry(&mut self, id: JobId, at: TimePoint) {
        if self.ended_jobs.insert(id) {
            let expiry = at.after(self.policy.ended_retention);
            // Partitions of the store are read one after the other.
            let later = |(other, _): &(TimePoint, JobId)| *other <= expiry;
            let index = self.expiry_queue.partition_point(later);
            self.expiry_queue.insert(index, (expiry, id));
        }
    }

    /// Removes at most `limit` jobs whose records have expired and returns them.
    pub fn take_expired(&mut self, limit: usize, now: TimePoint) -> Vec<JobId> {
        let mut expired = Vec::new();
        while expired.len() < limit
            && let Some((_, id)) = self.expiry_queue.pop_front_if(|(expiry, _)| *expiry <= now)
        {
            self.ended_jobs.remove(&id);
            expired.push(id);
        }
        expired
    }

    /// Queues the jobs of a batch that could not be stored again.
    pub fn requeue_records(&mut self, batch: &RecordBatch) {
        for (id, record) in &batch.records {
            self.dirty.insert(*id, record.phase.is_final());
        }
    }

    /// Removes a job whose end is stored, unless it has runs or unstored changes.
    fn remove_if_unused(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let mut tasks = job
            .occurrences
            .iter()
            .flat_map(|entry| entry.steps.iter().flat_map(|step| &step.tasks));
        if tasks.all(|task| task.runs.is_empty()) && !self.dirty.contains(&id) {
            self.jobs.remove(&id);
            self.arrival_times.remove(&id);
            self.forget_crashes(id);
        }
    }

    /// Removes ended jobs whose last run ended after their record was stored.
    pub(super) fn remove_ended_jobs(&mut self) {
        let ended = self.jobs.iter().filter(|(_, job)| job.is_end_stored);
        let ended: Vec<JobId> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            self.remove_if_unused(id);
        }
    }
}

/// Number of rows that a record takes in a write, including those that are deleted.
fn record_rows(record: &JobRecord) -> usize {
    if record.phase.is_final() {
        ROWS_PER_END + record.stored_rows.saturating_sub(1)
    } else {
        record.row_count()
    }
}
