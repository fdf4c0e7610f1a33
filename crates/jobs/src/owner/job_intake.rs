use std::collections::HashMap;
use std::time::Duration;

use sesamedeal_core::ids::{PoolName, QueueName};
use sesamedeal_core::jobs::{JobDispatcher, JobId, JobOrder, JobRecord, UnreachableWorker};
use sesamedeal_core::time::TimePoint;
use slog::{Logger, info, warn};

use crate::BootClock;
use crate::ports::{StorePosition, StoreRow};
use crate::row_codec::{JobKey, decode, parse_job_key};

/// Maximum age that a job is assumed to have. The clock of the accepting entry instance may be
/// wrong.
const MAX_JOB_AGE: Duration = Duration::from_secs(60);

/// Loads rows of the job table into the dispatcher.
#[derive(Debug)]
pub(crate) struct JobIntake {
    /// Version of the epoch row. Older jobs may have been started by a previous owner.
    pub epoch_version: u64,
    /// Job states read when the ownership was taken.
    pub states: HashMap<JobId, JobRecord>,
    /// Waiting jobs by queue, as published by the previous owner.
    pub previous_pending: Vec<(QueueName, u64)>,
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
    pub(crate) fn apply_rows(&mut self, rows: Vec<StoreRow>, dispatcher: &mut JobDispatcher) {
        let mut cancelled = Vec::new();
        for row in rows {
            if row.is_deleted {
                continue;
            }
            match parse_job_key(&row.key) {
                Some(JobKey::Order(id)) => self.load_job(id, &row, dispatcher),
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

    fn load_job(&mut self, id: JobId, row: &StoreRow, dispatcher: &mut JobDispatcher) {
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
        let is_inherited = row.version <= self.epoch_version;
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

/// When a job was accepted, on the clock of this process.
fn arrival_time(accepted_ms: u64) -> TimePoint {
    let earliest = BootClock.now().since_origin().saturating_sub(MAX_JOB_AGE);
    BootClock.time_of(accepted_ms).max(TimePoint::new(earliest))
}
