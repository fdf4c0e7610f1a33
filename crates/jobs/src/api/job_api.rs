use std::time::Duration;

use sesamedeal_core::ids::QueueName;
use sesamedeal_core::jobs::{JobId, JobOrder, JobPhase, JobRecord};
use sesamedeal_store::PlatformError;
use slog::{Logger, info, warn};
use tokio::time::{Instant, sleep};

use super::{CancelOutcome, StatusOutcome, SubmitOutcome};
use crate::BootClock;
use crate::StoreHealth;
use crate::job_metrics::JobMetrics;
use crate::owner::HeartbeatView;
use crate::ports::{
    RowChange, RowCondition, RowName, RowPartition, RowPut, RowRange, StorePort, StoreTable,
};
use crate::row_codec::{cancel_key, decode, encode, encode_job, job_key};

/// Pause before a call to the store is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(60);

/// Repeats of a call that the store turned away, before the caller is refused.
const MAX_REFUSALS: u32 = 2;

/// Longest age of a count of waiting jobs that is shown. The platform allows 2 s.
const MAX_COUNT_AGE: Duration = Duration::from_secs(2);

/// Accepts, shows and cancels jobs through the store.
#[derive(Debug, Clone)]
pub struct JobApi {
    pub(crate) store: StorePort,
    pub(crate) health: StoreHealth,
    pub(crate) heartbeat: HeartbeatView,
    pub(crate) metrics: JobMetrics,
    pub(crate) logger: Logger,
}

impl JobApi {
    /// Stores a job. The same id again is the same job.
    ///
    /// After a call without an answer the insertion is repeated until it is known to be stored; a
    /// job whose fate is unknown at `deadline` must not be reported as refused.
    pub async fn submit(&self, id: JobId, order: &JobOrder, deadline: Instant) -> SubmitOutcome {
        let value = match encode_job(order) {
            Ok(value) => value,
            Err(error) => {
                info!(self.logger, "submission"; "job" => %id, "queue" => %order.queue, "error" => %error);
                return SubmitOutcome::TooLarge;
            }
        };
        let job = RowName::new(StoreTable::Job, job_key(id));
        let state = RowName::new(StoreTable::State, job_key(id));
        let change = RowChange {
            conditions: [&job, &state].map(absent).into(),
            puts: vec![put(&job, value), put(&state, encode(&JobRecord::new()))],
            deletes: Vec::new(),
        };
        let (result, attempts) = self.insert(&change, deadline).await;
        let (outcome, reason) = match result {
            Ok(()) => (SubmitOutcome::Accepted, None),
            Err(InsertFailure::NotDone(reason)) => {
                let retry_after = self.health.retry_after();
                (SubmitOutcome::Refused { retry_after }, Some(reason))
            }
            Err(InsertFailure::Unknown(reason)) => (SubmitOutcome::Unknown, Some(reason)),
        };
        self.metrics.count_submission(outcome);
        info!(self.logger, "submission"; "job" => %id, "queue" => %order.queue, "attempts" => attempts, "outcome" => ?outcome, "reason" => reason);
        outcome
    }

    async fn insert(
        &self,
        change: &RowChange,
        deadline: Instant,
    ) -> (Result<(), InsertFailure>, u32) {
        let mut is_open = false;
        let mut attempts = 0;
        loop {
            attempts += 1;
            if !is_open && self.health.refuses_call() {
                let reason = "the last calls to the store failed".to_owned();
                return (Err(InsertFailure::NotDone(reason)), attempts - 1);
            }
            let result = (self.store.transact)(change.clone()).await;
            self.health.record(&result);
            let refusal = match result {
                // A conflict means that the row is there already.
                Ok(_) => return (Ok(()), attempts),
                Err(PlatformError::NoAnswer { reason }) => {
                    is_open = true;
                    reason
                }
                Err(error) => error.to_string(),
            };
            let is_last = Instant::now() + REPEAT_PAUSE >= deadline;
            if is_last || (!is_open && attempts > MAX_REFUSALS) {
                let failure = if is_open {
                    InsertFailure::Unknown(refusal)
                } else {
                    InsertFailure::NotDone(refusal)
                };
                return (Err(failure), attempts);
            }
            sleep(REPEAT_PAUSE).await;
        }
    }

    /// Reads where a job stands.
    pub async fn status(&self, id: JobId, deadline: Instant) -> StatusOutcome {
        let mut attempts = 0;
        loop {
            let result = self.read_state(id).await;
            self.health.record(&result);
            match result {
                Ok(Some(phase)) => return StatusOutcome::Known(phase),
                Ok(None) => {
                    info!(self.logger, "status of an unknown job"; "job" => %id);
                    return StatusOutcome::Missing;
                }
                Err(error) => {
                    attempts += 1;
                    if Instant::now() + REPEAT_PAUSE >= deadline || attempts > MAX_REFUSALS {
                        warn!(self.logger, "status unavailable"; "job" => %id, "error" => %error);
                        return StatusOutcome::Unavailable {
                            retry_after: self.health.retry_after(),
                        };
                    }
                }
            }
            sleep(REPEAT_PAUSE).await;
        }
    }

    async fn read_state(&self, id: JobId) -> Result<Option<JobPhase>, PlatformError> {
        let key = job_key(id);
        let range = RowRange {
            table: StoreTable::State,
            partition: RowPartition::of(StoreTable::State, &key),
            from: key.as_str().into(),
            limit: Some(1),
        };
        let page = (self.store.read)(range).await?;
        let row = page.rows.into_iter().find(|row| row.key == key);
        row.map(|row| {
            decode::<JobRecord>(&row.value)
                .map(|record| record.phase)
                .map_err(|error| PlatformError::NoAnswer {
                    reason: format!("unusable state of job {id}: {error}"),
                })
        })
        .transpose()
    }

    /// Stores the request to cancel a job.
    pub async fn cancel(&self, id: JobId, deadline: Instant) -> CancelOutcome {
        let outcome = match self.status(id, deadline).await {
            StatusOutcome::Missing => CancelOutcome::Missing,
            StatusOutcome::Unavailable { retry_after } => {
                CancelOutcome::Unavailable { retry_after }
            }
            StatusOutcome::Known(phase) if phase.is_final() => CancelOutcome::Accepted,
            StatusOutcome::Known(_) => {
                let row = RowName::new(StoreTable::Job, cancel_key(id));
                let change = RowChange {
                    puts: vec![put(&row, bytes::Bytes::from_static(b"1"))],
                    ..RowChange::default()
                };
                match self.insert(&change, deadline).await.0 {
                    Ok(()) => CancelOutcome::Accepted,
                    Err(InsertFailure::Unknown(_)) => CancelOutcome::Unknown,
                    Err(InsertFailure::NotDone(_)) => CancelOutcome::Unavailable {
                        retry_after: self.health.retry_after(),
                    },
                }
            }
        };
        info!(self.logger, "cancellation"; "job" => %id, "outcome" => ?outcome);
        outcome
    }

    /// Whether the store answers this entry instance.
    #[must_use]
    pub const fn health(&self) -> &StoreHealth {
        &self.health
    }

    /// Jobs of a queue for which no task has started, as the owner published them last; none if
    /// that is not known, or was counted too long ago. An owner that falls behind goes on to
    /// publish what it counts.
    #[must_use]
    pub fn pending(&self, queue: &QueueName) -> Option<u64> {
        let count = self.heartbeat.pending(queue)?;
        let counted = count.counted.and_then(|counted| counted.at_ms);
        let age = counted.and_then(|at_ms| self.health.clock.age(at_ms, BootClock.now()));
        if let Some(age) = age {
            self.metrics.observe_count_age(age);
        }
        info!(self.logger, "waiting jobs counted"; "queue" => %queue, "jobs" => count.jobs, "epoch" => count.epoch, "row" => count.counted.map(|counted| counted.version), "age_ms" => age.map(|age| age.as_millis()));
        age.filter(|age| *age <= MAX_COUNT_AGE).map(|_| count.jobs)
    }
}

/// Why a row is not known to be stored, with the last error.
#[derive(Debug)]
enum InsertFailure {
    /// It is not stored, and no attempt can store it any more.
    NotDone(String),
    /// An attempt without an answer may have stored it, or may yet.
    Unknown(String),
}

fn absent(row: &RowName) -> RowCondition {
    RowCondition {
        row: row.clone(),
        version: 0,
    }
}

fn put(row: &RowName, value: bytes::Bytes) -> RowPut {
    RowPut {
        row: row.clone(),
        value,
    }
}
