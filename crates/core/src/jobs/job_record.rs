use std::borrow::Cow;

use serde::{Deserialize, Serialize};

use super::{JobPhase, TaskCrashes};

/// Maximum size of an encoded row of a record, in bytes. Below the limit of the store of 64 KiB.
pub const MAX_RECORD_ROW_BYTES: usize = 60 * 1024;

/// Maximum size of an encoded record, in bytes. With the heartbeat and the rows beside it, and with
/// the store's encoding, which adds a third, it fits into a write of 1 MB.
pub const MAX_RECORD_BYTES: usize = 600_000;

/// Upper bound of the encoded size of a number, in bytes.
const NUMBER_BYTES: usize = 9;

/// Upper bound of the encoded size of a step or of a record without its lists, in bytes.
const STRUCT_BYTES: usize = 64;

/// Upper bound of the encoded size of a crash without its names, in bytes.
const CRASH_BYTES: usize = 96;

/// Maximum number of failed runs in a part of a step that is kept in one row.
const RUNS_PER_PART: usize = 1_024;

/// Stored task results of a step within one occurrence.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
    /// Bitmap of the tasks that are done, 64 tasks a word.
    pub done: Vec<u64>,
    /// Indexes of the tasks with failed runs, and the numbers of those runs.
    pub failed: Vec<(u16, Vec<u64>)>,
}

impl StepRecord {
    /// Upper bound of the encoded size, in bytes.
    fn size_bound(&self) -> usize {
        let failed = self.failed.iter();
        let failed = failed.map(|(_, runs)| NUMBER_BYTES * (runs.len() + 2));
        STRUCT_BYTES + NUMBER_BYTES * self.done.len() + failed.sum::<usize>()
    }

    /// Splits the failed runs into parts of at most [`RUNS_PER_PART`]. The first part has the done
    /// tasks.
    fn into_parts(self) -> Vec<Self> {
        let (occurrence, step) = (self.occurrence, self.step);
        let mut parts = vec![Self {
            failed: Vec::new(),
            ..self
        }];
        let mut left = RUNS_PER_PART;
        for (index, runs) in self.failed {
            let mut runs = runs.as_slice();
            while !runs.is_empty() {
                if left == 0 {
                    left = RUNS_PER_PART;
                    parts.push(Self {
                        occurrence,
                        step,
                        ..Self::default()
                    });
                }
                let (taken, rest) = runs.split_at(runs.len().min(left));
                if let Some(part) = parts.last_mut() {
                    part.failed.push((index, taken.to_vec()));
                }
                left -= taken.len();
                runs = rest;
            }
        }
        parts
    }
}

/// Stored progress of a job.
///
/// A record that is larger than a row is stored in several rows of the job's partition. Each row is
/// a record with a part of the steps and crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Current phase of the job.
    pub phase: JobPhase,
    /// Unix time of the end, in milliseconds; 0 while the job has not ended.
    pub ended_ms: u64,
    /// Steps with at least one done task or failed run; empty once the job has ended.
    pub steps: Vec<StepRecord>,
    /// Crashes of workers under the tasks; empty once the job has ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<TaskCrashes>,
    /// Number of rows that an earlier version of the record may have in the store.
    #[serde(skip)]
    pub stored_rows: usize,
}

impl JobRecord {
    /// Creates the record of a newly accepted job.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            phase: JobPhase::Queued,
            ended_ms: 0,
            steps: Vec::new(),
            crashes: Vec::new(),
            stored_rows: 0,
        }
    }

    /// Upper bound of the size of the encoded record, in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        let steps = self.steps.iter().map(StepRecord::size_bound);
        let crashes = self.crashes.iter().map(crash_bound);
        STRUCT_BYTES + steps.sum::<usize>() + crashes.sum::<usize>()
    }

    /// Splits the record into rows of at most [`MAX_RECORD_ROW_BYTES`].
    ///
    /// The record of a job that has not ended takes at least [`Self::stored_rows`] rows, so that a
    /// row of an earlier version is replaced when the record shrinks. That of an ended job takes
    /// one.
    #[must_use]
    pub fn rows(&self) -> Cow<'_, [Self]> {
        if self.size_bound() <= MAX_RECORD_ROW_BYTES && self.stored_rows <= 1 {
            return Cow::Borrowed(std::slice::from_ref(self));
        }
        Cow::Owned(self.clone().split())
    }

    fn split(self) -> Vec<Self> {
        let empty = Self {
            phase: self.phase,
            ended_ms: self.ended_ms,
            ..Self::new()
        };
        let least = if self.phase.is_final() {
            1
        } else {
            self.stored_rows
        };
        let mut rows = vec![empty.clone()];
        let mut size = STRUCT_BYTES;
        let steps = self.steps.into_iter().flat_map(StepRecord::into_parts);
        let steps = steps.map(|step| (step.size_bound(), RowEntry::Step(step)));
        let crashes = self.crashes.into_iter();
        let crashes = crashes.map(|entry| (crash_bound(&entry), RowEntry::Crashes(entry)));
        for (added, entry) in steps.chain(crashes) {
            if size + added > MAX_RECORD_ROW_BYTES {
                size = STRUCT_BYTES;
                rows.push(empty.clone());
            }
            size += added;
            if let Some(row) = rows.last_mut() {
                row.push(entry);
            }
        }
        rows.resize(rows.len().max(least), empty);
        rows
    }

    fn push(&mut self, entry: RowEntry) {
        match entry {
            RowEntry::Step(step) => self.steps.push(step),
            RowEntry::Crashes(crashes) => self.crashes.push(crashes),
        }
    }

    /// Number of rows in which the record is stored.
    #[must_use]
    pub fn row_count(&self) -> usize {
        self.rows().len()
    }

    /// Adds the content of a further row of the same record.
    pub fn add_row(&mut self, row: Self) {
        self.steps.extend(row.steps);
        self.crashes.extend(row.crashes);
        self.stored_rows += 1;
    }
}

impl Default for JobRecord {
    fn default() -> Self {
        Self::new()
    }
}

/// Part of a record that is stored in one row.
enum RowEntry {
    Step(StepRecord),
    Crashes(TaskCrashes),
}

/// Upper bound of the encoded size of the crashes under a task, in bytes.
fn crash_bound(entry: &TaskCrashes) -> usize {
    let crashes = entry.crashes.iter().map(|crash| {
        let instance = crash
            .instance
            .as_ref()
            .map_or(0, |name| name.as_str().len());
        CRASH_BYTES + crash.worker.as_str().len() + instance
    });
    STRUCT_BYTES + crashes.sum::<usize>()
}
