use std::time::Duration;

use sesamedeal_core::ids::QueueName;
use sesamedeal_core::jobs::{JobId, JobOrder, JobPhase, JobRecord};
use sesamedeal_store::PlatformError;
use slog::{Logger, info, warn};
use tokio::time::{Instant, sleep};

use super::{CancelOutcome, StatusOutcome, SubmitOutcome};
use crate::BootClock;
use crate::DeploymentView;
use crate::StoreHealth;
use crate::job_metrics::JobMetrics;
use crate::owner::HeartbeatView;
use crate::ports::{
    RowChange, RowCondition, RowName, RowPartition, RowPut, RowRange, StorePort, StoreTable,
};
use crate::row_codec::{cancel_key, decode, encode, encode_job, job_key};

/// Delay before a store call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Number of retries of a store call that the store rejected, before the caller is refused.
const MAX_RETRIES: u32 = 2;

/// Maximum age of a waiting job count that is returned to callers. The platform allows 2 s.
const MAX_COUNT_AGE: Duration = Duration::from_secs(2);

/// API for callers: submits and cancels jobs and reads their status, all through the store.
#[derive(Debug, Clone)]
pub struct JobApi {
    pub(crate) store: StorePort,
    pub(crate) health: StoreHealth,
    pub(crate) heartbeat: HeartbeatView,
    pub(crate) view: DeploymentView,
    /// Whether jobs are rejected that cannot end while their result is of use.
    pub(crate) rejects_overload: bool,
    pub(crate) metrics: JobMetrics,
    pub(crate) logger: Logger,
}

impl JobApi {
    /// Stores a job. A second submission with the same id is the same job.
    ///
    /// If the store does not answer, the insertion is retried until the job is known to be stored.
    /// If that is still unknown at `deadline`, the outcome is `Unknown`: the job must not be
    /// reported as refused, because it may be stored.
    pub async fn submit(&self, id: JobId, order: &JobOrder, deadline: Instant) -> SubmitOutcome {
        if let Some(retry_after) = self.overload_rejection(id, order)
            && self.is_absent(id).await
        {
            let outcome = SubmitOutcome::Overloaded { retry_after };
            self.metrics.count_submission(outcome);
            return outcome;
        }
        let rules = self.view.load().and_then(|deployment| {
            let team = order.team.as_ref();
            deployment.rules.order_rules(&order.queue, team)
        });
        let accepted = JobOrder {
            rules,
            ..order.clone()
        };
        let value = match encode_job(&accepted) {
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
            Err(InsertFailure::NotStored(reason)) => {
                let retry_after = self.health.retry_after();
                (SubmitOutcome::Refused { retry_after }, Some(reason))
            }
            Err(InsertFailure::Unknown(reason)) => (SubmitOutcome::Unknown, Some(reason)),
        };
        self.metrics.count_submission(outcome);
        info!(self.logger, "submission"; "job" => %id, "queue" => %order.queue, "attempts" => attempts, "outcome" => ?outcome, "reason" => reason);
        outcome
    }

    /// Writes `change`, with retries until `deadline`. Also returns the number of attempts.
    async fn insert(
        &self,
        change: &RowChange,
        deadline: Instant,
    ) -> (Result<(), InsertFailure>, u32) {
        let mut may_be_stored = false;
        let mut attempts = 0;
        loop {
            attempts += 1;
            if !may_be_stored && self.health.refuses_call() {
                let reason = "the last calls to the store failed".to_owned();
                return (Err(InsertFailure::NotStored(reason)), attempts - 1);
            }
            let result = (self.store.transact)(change.clone()).await;
            self.health.record(&result);
            let reason = match result {
                // A conflict means that an earlier attempt or submission stored the row.
                Ok(_) => return (Ok(()), attempts),
                Err(PlatformError::NoAnswer { reason }) => {
                    may_be_stored = true;
                    reason
                }
                Err(error) => error.to_string(),
            };
            let is_last = Instant::now() + RETRY_DELAY >= deadline;
            if is_last || (!may_be_stored && attempts > MAX_RETRIES) {
                let failure = if may_be_stored {
                    InsertFailure::Unknown(reason)
                } else {
                    InsertFailure::NotStored(reason)
                };
                return (Err(failure), attempts);
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Whether the store has no job with this id. An earlier submission may have stored it, and a
    /// rejection says that the job never runs.
    async fn is_absent(&self, id: JobId) -> bool {
        let result = self.read_state(id).await;
        self.health.record(&result);
        matches!(result, Ok(None))
    }

    /// Reads the phase of a job from the store.
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
                    if Instant::now() + RETRY_DELAY >= deadline || attempts > MAX_RETRIES {
                        warn!(self.logger, "status unavailable"; "job" => %id, "error" => %error);
                        return StatusOutcome::Unavailable {
                            retry_after: self.health.retry_after(),
                        };
                    }
                }
            }
            sleep(RETRY_DELAY).await;
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
                    reason: format!("cannot decode the state of job {id}: {error}"),
                })
        })
        .transpose()
    }

    /// Stores a request to cancel a job.
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
                    Err(InsertFailure::NotStored(_)) => CancelOutcome::Unavailable {
                        retry_after: self.health.retry_after(),
                    },
                }
            }
        };
        info!(self.logger, "cancellation"; "job" => %id, "outcome" => ?outcome);
        outcome
    }

    /// Health of the store as seen by this entry instance.
    #[must_use]
    pub const fn health(&self) -> &StoreHealth {
        &self.health
    }

    /// Returns the number of jobs of a queue for which no task has started, as last published by
    /// the owner.
    ///
    /// Returns `None` if no count is known, or if its age is unknown or above 2 s: an owner that
    /// lags behind the store keeps publishing counts of an old state.
    #[must_use]
    pub fn pending(&self, queue: &QueueName) -> Option<u64> {
        let count = self.heartbeat.pending(queue)?;
        let counted_at_ms = count.counted.and_then(|counted| counted.at_ms);
        let age = counted_at_ms.and_then(|at_ms| self.health.clock.age(at_ms, BootClock.now()));
        if let Some(age) = age {
            self.metrics.observe_count_age(age);
        }
        info!(self.logger, "waiting jobs counted"; "queue" => %queue, "jobs" => count.jobs, "epoch" => count.epoch, "row" => count.counted.map(|counted| counted.version), "age_ms" => age.map(|age| age.as_millis()));
        age.filter(|age| *age <= MAX_COUNT_AGE).map(|_| count.jobs)
    }
}

/// Why a write is not known to have succeeded, with the text of the last error.
#[derive(Debug)]
enum InsertFailure {
    /// The rows are not stored, and none of the attempts can still take effect.
    NotStored(String),
    /// An attempt without an answer may have stored the rows, or may still do so.
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
