use std::sync::Arc;
use std::time::Duration;

use super::task_entry::TaskEntry;
use super::{JobId, JobOrder, JobPhase, JobRecord, StepRecord};
use crate::ids::PoolName;

/// Tasks of a step within one occurrence of a job.
#[derive(Debug, Clone)]
pub(crate) struct StepEntry {
    pub tasks: Vec<TaskEntry>,
    /// Number of tasks that are not done.
    pub remaining: usize,
    /// Run times of the step's tasks whose start and end this owner observed.
    pub run_times: Vec<Duration>,
}

/// One occurrence of a job.
#[derive(Debug, Clone)]
pub(crate) struct OccurrenceEntry {
    pub number: u32,
    pub steps: Vec<StepEntry>,
}

/// Job that has not ended, or whose end is not stored yet.
#[derive(Debug, Clone)]
pub(crate) struct JobEntry {
    pub id: JobId,
    pub order: Arc<JobOrder>,
    pub phase: JobPhase,
    /// Unix time of the end, in milliseconds; 0 while the job has not ended.
    pub ended_ms: u64,
    /// Whether the record of the job's end is stored.
    pub is_end_stored: bool,
    /// Whether a previous owner may have started tasks of the job.
    pub is_inherited: bool,
    pub occurrences: Vec<OccurrenceEntry>,
    /// Number of the next occurrence to create.
    pub next_occurrence: u32,
    /// Number of occurrences whose time has come by the clock of this owner. Tasks of the others are
    /// known because a previous owner has started them, and no further ones start.
    pub due_occurrences: u32,
    /// Declared run time of the critical path through the steps.
    pub critical_path: Duration,
    /// Number of rows that the record may have in the store.
    pub stored_rows: usize,
}

impl JobEntry {
    pub(crate) fn new(id: JobId, order: JobOrder, record: JobRecord, is_inherited: bool) -> Self {
        let critical_path = order.critical_path();
        let due_occurrences = u32::from(order.schedule.is_none());
        let mut entry = Self {
            id,
            order: Arc::new(order),
            phase: record.phase,
            ended_ms: record.ended_ms,
            is_end_stored: false,
            is_inherited,
            occurrences: Vec::new(),
            next_occurrence: 0,
            due_occurrences,
            critical_path,
            stored_rows: record.stored_rows,
        };
        for step in record.steps {
            entry.restore(&step);
        }
        for crashed in record.crashes {
            entry.open_through(crashed.task.step.occurrence);
        }
        entry
    }

    fn restore(&mut self, record: &StepRecord) {
        self.open_through(record.occurrence);
        let Some(step) = self.step_mut(record.occurrence, record.step) else {
            return;
        };
        for (index, task) in step.tasks.iter_mut().enumerate() {
            let word = record.done.get(index / 64).copied().unwrap_or(0);
            if word >> (index % 64) & 1 == 1 && !task.is_done {
                task.is_done = true;
                step.remaining -= 1;
            }
        }
        for (index, runs) in &record.failed {
            if let Some(task) = step.tasks.get_mut(usize::from(*index)) {
                task.failed_runs.extend(runs);
            }
        }
    }

    /// Creates the occurrences up to `number`, as far as the job has them.
    pub(crate) fn open_through(&mut self, number: u32) {
        while self.next_occurrence <= number && self.next_occurrence < self.order.occurrences() {
            self.open_occurrence();
        }
    }

    /// Creates the scheduled occurrences that are due at `unix_ms`, in Unix milliseconds.
    pub(crate) fn open_due(&mut self, unix_ms: u64) {
        let Some(schedule) = self.order.schedule else {
            return;
        };
        while self.due_occurrences < schedule.count
            && schedule.due_ms(self.due_occurrences) <= unix_ms
        {
            self.open_through(self.due_occurrences);
            self.due_occurrences += 1;
        }
    }

    /// Occurrences whose time has come.
    pub(crate) fn due(&self) -> &[OccurrenceEntry] {
        let due = usize::try_from(self.due_occurrences).unwrap_or(usize::MAX);
        &self.occurrences[..due.min(self.occurrences.len())]
    }

    /// Creates the next occurrence with all its tasks.
    pub(crate) fn open_occurrence(&mut self) {
        let steps = self.order.steps.iter().map(|step| StepEntry {
            tasks: vec![TaskEntry::default(); usize::from(step.count)],
            remaining: usize::from(step.count),
            run_times: Vec::new(),
        });
        self.occurrences.push(OccurrenceEntry {
            number: self.next_occurrence,
            steps: steps.collect(),
        });
        self.next_occurrence += 1;
    }

    pub(crate) fn occurrence(&self, number: u32) -> Option<&OccurrenceEntry> {
        self.occurrences.get(usize::try_from(number).ok()?)
    }

    pub(crate) fn step(&self, occurrence: u32, step: u16) -> Option<&StepEntry> {
        self.occurrence(occurrence)?.steps.get(usize::from(step))
    }

    pub(crate) fn step_mut(&mut self, occurrence: u32, step: u16) -> Option<&mut StepEntry> {
        let entry = self
            .occurrences
            .get_mut(usize::try_from(occurrence).ok()?)?;
        entry.steps.get_mut(usize::from(step))
    }

    /// Whether all steps that `step` depends on are done.
    pub(crate) fn is_step_ready(&self, occurrence: u32, step: u16) -> bool {
        let Some(entry) = self.occurrence(occurrence) else {
            return false;
        };
        let spec = &self.order.steps[usize::from(step)];
        spec.after.iter().all(|&earlier| {
            entry
                .steps
                .get(usize::from(earlier))
                .is_some_and(|step| step.remaining == 0)
        })
    }

    /// Whether all occurrences have been created and all their tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.next_occurrence == self.order.occurrences()
            && self
                .occurrences
                .iter()
                .all(|entry| entry.steps.iter().all(|step| step.remaining == 0))
    }

    /// Pool of the job's queue when the job was accepted, from which the queue may have moved since.
    pub(crate) fn accepted_pool(&self) -> Option<&PoolName> {
        self.order.rules.as_ref().map(|rules| &rules.queue.pool)
    }

    /// Whether no worker has begun a task of the job, as far as is known.
    pub(crate) fn is_unstarted(&self) -> bool {
        self.phase == JobPhase::Queued
    }

    pub(crate) fn record(&self) -> JobRecord {
        let steps = if self.phase.is_final() {
            Vec::new()
        } else {
            self.step_records()
        };
        JobRecord {
            phase: self.phase,
            ended_ms: self.ended_ms,
            steps,
            crashes: Vec::new(),
            stored_rows: self.stored_rows,
        }
    }

    fn step_records(&self) -> Vec<StepRecord> {
        let mut records = Vec::new();
        for occurrence in &self.occurrences {
            for (number, step) in occurrence.steps.iter().enumerate() {
                let mut record = StepRecord {
                    occurrence: occurrence.number,
                    step: u16::try_from(number).unwrap_or(u16::MAX),
                    done: vec![0; step.tasks.len().div_ceil(64)],
                    failed: Vec::new(),
                };
                for (index, task) in step.tasks.iter().enumerate() {
                    record.done[index / 64] |= u64::from(task.is_done) << (index % 64);
                    if !task.failed_runs.is_empty() {
                        let index = u16::try_from(index).unwrap_or(u16::MAX);
                        record.failed.push((index, task.failed_runs.clone()));
                    }
                }
                if step.remaining < step.tasks.len() || !record.failed.is_empty() {
                    records.push(record);
                }
            }
        }
        records
    }
}
