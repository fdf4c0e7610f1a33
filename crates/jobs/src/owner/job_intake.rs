use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use compact_str::CompactString;
use sesamedeal_core::ids::{PoolName, QueueName};
use sesamedeal_core::jobs::{
    JobDispatcher, JobId, JobOrder, JobRecord, UnreachableWorker, UnreadPartitions,
};
use sesamedeal_core::time::TimePoint;
use slog::{Logger, info, warn};

use super::partition_loader::LoadedPartition;
use super::stored_states::decode_states;
use crate::BootClock;
use crate::ports::{RowPartition, StorePosition, StoreRow, StoreTable};
use crate::row_codec::{JobKey, decode, job_key, parse_job_key};

/// Maximum age that a job is assumed to have. The clock of the accepting entry instance may be
/// wrong.
const MAX_JOB_AGE: Duration = Duration::from_secs(60);

/// Loads rows of the job table into the dispatcher.
#[derive(Debug)]
pub(crate) struct JobIntake {
    /// Version of the epoch row. Older jobs may have been started by a previous owner.
    pub epoch_version: u64,
    /// States of jobs that have not been loaded.
    pub states: HashMap<JobId, JobRecord>,
    /// Partitions that have not been read.
    pub unread: UnreadPartitions,
    /// Changed rows of these partitions by key, until the partition is read.
    pub early_rows: BTreeMap<CompactString, StoreRow>,
    /// Partitions held back until the next renewal.
    pub deferred_partitions: Vec<LoadedPartition>,
    /// Waiting jobs by queue, as published by the previous owner.
    pub previous_pending: Vec<(QueueName, u64)>,
    /// Whether the previous owner left queues out.
    pub is_previous_pending_partial: bool,
    /// Unreachable workers, as published by the previous owner.
    pub previous_unreachable: Vec<UnreachableWorker>,
    /// How long ago the last surge of each pool began, in milliseconds, as published by the
    /// previous owner.
    pub previous_surges: Vec<(PoolName, u64)>,
    /// Rows held back until the next renewal.
    pub deferred_rows: Vec<StoreRow>,
    /// Position of the job table when the newest of these rows were read.
    pub deferred_position: Option<StorePosition>,
    /// Position of the job table when the newest loaded rows were read; none before the jobs are
    /// loaded.
    pub position: Option<StorePosition>,
    /// Position of the job table when the previous owner counted the waiting jobs.
    pub previous_counted: Option<StorePosition>,
    pub logger: Logger,
}

impl JobIntake {
    /// Loads changed rows. Those of partitions that have not been read wait for that.
    pub(crate) fn apply_rows(&mut self, rows: Vec<StoreRow>, dispatcher: &mut JobDispatcher) {
        let is_early = |row: &StoreRow| match parse_job_key(&row.key) {
            Some(JobKey::Order(id) | JobKey::Cancel(id)) => self.unread.contains(id),
            None => false,
        };
        let (early, rows): (Vec<_>, Vec<_>) = rows.into_iter().partition(is_early);
        self.load_rows(rows, false, dispatcher);
        let early = early.into_iter().filter(|row| !row.is_deleted);
        self.early_rows
            .extend(early.map(|row| (row.key.clone(), row)));
    }

    /// Loads partitions. If others were loaded before, a previous owner may have started all their
    /// tasks, since it may have gone on for some time after the epoch row was written.
    pub(crate) fn apply_partitions(
        &mut self,
        partitions: Vec<LoadedPartition>,
        is_late: bool,
        dispatcher: &mut JobDispatcher,
    ) {
        let states = partitions.iter().flat_map(|loaded| &loaded.states);
        let (states, ended) = decode_states(states, &self.logger);
        self.states.extend(states);
        for (id, at) in ended {
            dispatcher.schedule_expiry(id, at);
        }
        let mut numbers = Vec::new();
        for loaded in partitions {
            let number = loaded.partition.number();
            self.unread.remove(number);
            numbers.push(number);
            self.load_rows(loaded.jobs, is_late, dispatcher);
        }
        let unread = &self.unread;
        let read = self
            .early_rows
            .extract_if(.., |key, _| match parse_job_key(key) {
                Some(JobKey::Order(id) | JobKey::Cancel(id)) => !unread.contains(id),
                None => true,
            });
        let rows = read.map(|(_, row)| row).collect();
        self.load_rows(rows, is_late, dispatcher);
        let now = BootClock.now();
        for number in numbers {
            let counts = dispatcher.note_partition_read(number, now);
            if counts.ends + counts.runs > 0 {
                info!(self.logger, "kept ends and runs processed"; "partition" => number, "ends" => counts.ends, "runs" => counts.runs, "unknown" => counts.unknown);
            }
        }
    }

    fn load_rows(&mut self, rows: Vec<StoreRow>, is_late: bool, dispatcher: &mut JobDispatcher) {
        let mut cancelled = Vec::new();
        for row in rows {
            if row.is_deleted {
                continue;
            }
            match parse_job_key(&row.key) {
                Some(JobKey::Order(id)) => self.load_job(id, &row, is_late, dispatcher),
                Some(JobKey::Cancel(id)) => cancelled.push(id),
                None => {
                    warn!(self.logger, "skipped unusable row"; "key" => %row.key, "row" => row.version);
                }
            }
        }
        for id in cancelled {
            let is_open = dispatcher.cancel_job(id);
            info!(self.logger, "job cancelled"; "job" => %id, "is_open" => is_open);
        }
    }

    fn load_job(
        &mut self,
        id: JobId,
        row: &StoreRow,
        is_late: bool,
        dispatcher: &mut JobDispatcher,
    ) {
        if dispatcher.phase(id).is_some() {
            // Partitions are read again and again while changes do not come.
            return;
        }
        let order: JobOrder = match decode(&row.value) {
            Ok(order) => order,
            Err(error) => {
                warn!(self.logger, "skipped unusable row"; "job" => %id, "row" => row.version, "error" => %error);
                return;
            }
        };
        if let Err(problem) = order.check() {
            warn!(self.logger, "skipped unusable row"; "job" => %id, "row" => row.version, "problem" => problem);
            return;
        }
        let record = self.states.remove(&id).unwrap_or_default();
        let is_inherited = is_late || row.version <= self.epoch_version;
        let arrived = if is_inherited {
            arrival_time(order.accepted_ms)
        } else {
            BootClock.now()
        };
        let queue = order.queue.clone();
        let age_ms = BootClock.unix_ms().saturating_sub(order.accepted_ms);
        if dispatcher.add_job(id, order, record, is_inherited, arrived) {
            info!(self.logger, "job loaded"; "job" => %id, "queue" => %queue, "row" => row.version, "is_inherited" => is_inherited, "age_ms" => age_ms);
        }
    }
}

/// All partitions of the stored jobs, before any is read.
pub(super) fn unread_partitions(has_partitions: bool) -> UnreadPartitions {
    let numbers = RowPartition::all(StoreTable::Job, has_partitions).map(RowPartition::number);
    if has_partitions {
        let of = |id: JobId| RowPartition::of(StoreTable::Job, &job_key(id)).number();
        UnreadPartitions::new(numbers, of)
    } else {
        // Any read covers the whole table.

        UnreadPartitions::new(numbers, |_| 1)
    }
}

/// When a job was accepted, on the clock of this process.
fn arrival_time(accepted_ms: u64) -> TimePoint {
    let earliest = BootClock.now().since_origin().saturating_sub(MAX_JOB_AGE);
    BootClock.time_of(accepted_ms).max(TimePoint::new(earliest))
}
