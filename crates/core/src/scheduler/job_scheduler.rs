use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use super::{
    AttemptKey, AttemptOutcome, DispatchOrder, FinishOutcome, JobKey, JobRefusal, JobSpec,
    SchedulerAction, SchedulerPolicy,
};
use crate::code::ResultCode;
use crate::exchange::{ExchangeMessage, MESSAGE_VERSION};
use crate::fleet::FleetState;
use crate::ids::{Generation, InstanceName, PoolName, SessionId};
use crate::time::TimePoint;

#[derive(Debug)]
struct QueuedJob {
    spec: JobSpec,
    queued: bool,
}

#[derive(Debug)]
struct RunningAttempt {
    job: JobKey,
    worker: InstanceName,
}

/// Places the jobs of one entry instance on the workers of its pools.
#[derive(Debug)]
pub struct JobScheduler {
    session: SessionId,
    policy: SchedulerPolicy,
    rng: Pcg64Mcg,
    state: FleetState,
    jobs: SlotMap<JobKey, QueuedJob>,
    attempts: SlotMap<AttemptKey, RunningAttempt>,
    queues: BTreeMap<PoolName, VecDeque<JobKey>>,
    in_use: BTreeMap<InstanceName, u32>,
}

impl JobScheduler {
    /// Creates a scheduler without fleet state, for the session and with a seed for its choices.
    #[must_use]
    pub fn new(session: SessionId, policy: SchedulerPolicy, seed: u64) -> Self {
        Self {
            session,
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            state: FleetState::default(),
            jobs: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            queues: BTreeMap::new(),
            in_use: BTreeMap::new(),
        }
    }

    /// Acts under `state` from now on. `settled` is the highest settled generation.
    pub fn apply(&mut self, state: &FleetState, _settled: Generation, _now: TimePoint) {
        if state.generation > self.state.generation {
            self.state = state.clone();
        }
    }

    /// Highest generation that nothing running at this entry instance contradicts.
    #[must_use]
    pub fn quiesced(&self) -> Generation {
        self.state.generation
    }

    /// Takes a job into its queue.
    ///
    /// # Errors
    ///
    /// Returns the final answer when the job cannot be queued.
    pub fn submit(&mut self, spec: JobSpec, _now: TimePoint) -> Result<JobKey, JobRefusal> {
        let fits = self.state.instances.values().any(|instance| {
            instance.pool == spec.pool
                && instance.cores >= spec.cores
                && instance.memory_mb >= spec.memory_mb
        });
        if !fits {
            return Err(JobRefusal::new(ResultCode::NeverFits));
        }
        let queue = self.queues.entry(spec.pool.clone()).or_default();
        if queue.len() >= self.policy.max_queued {
            return Err(JobRefusal::new(ResultCode::QueueFull));
        }
        let key = self.jobs.insert(QueuedJob { spec, queued: true });
        queue.push_back(key);
        Ok(key)
    }

    /// Removes a queued job, or lets a running one end unanswered.
    pub fn cancel(&mut self, job: JobKey, _now: TimePoint) {
        self.jobs.remove(job);
    }

    /// Returns the next thing to do, until there is none.
    pub fn next_action(&mut self, now: TimePoint) -> Option<SchedulerAction> {
        let pools: Vec<PoolName> = self.queues.keys().cloned().collect();
        pools
            .into_iter()
            .find_map(|pool| self.next_in_pool(&pool, now))
    }

    /// Point at which `next_action` has something to do without another call.
    #[must_use]
    pub fn next_wake(&self) -> Option<TimePoint> {
        self.jobs
            .values()
            .filter(|job| job.queued)
            .map(|job| job.spec.deadline)
            .min()
    }

    /// Takes note of how an attempt went and decides what becomes of its job.
    pub fn finish(
        &mut self,
        attempt: AttemptKey,
        outcome: AttemptOutcome,
        now: TimePoint,
    ) -> FinishOutcome {
        self.ended(attempt, now);
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Failed => FinishOutcome::Answer,
            AttemptOutcome::NotStarted | AttemptOutcome::Draining => {
                FinishOutcome::Refuse(JobRefusal::new(ResultCode::NoWorker))
            }
            AttemptOutcome::Lost => {
                FinishOutcome::Refuse(JobRefusal::new(ResultCode::OutcomeUnknown))
            }
            AttemptOutcome::BadAnswer => {
                FinishOutcome::Refuse(JobRefusal::new(ResultCode::BadAnswer))
            }
        }
    }

    /// Takes note that the backend server confirmed the end of an attempt.
    pub fn ended(&mut self, attempt: AttemptKey, _now: TimePoint) {
        if let Some(running) = self.attempts.remove(attempt) {
            self.jobs.remove(running.job);
            if let Some(used) = self.in_use.get_mut(&running.worker) {
                *used -= 1;
            }
        }
    }

    /// Takes note that a backend server is leaving.
    pub fn mark_leaving(&mut self, _worker: &InstanceName, _now: TimePoint) {}

    /// Refuses all further jobs and all queued ones, ahead of a shutdown.
    pub fn shut_down(&mut self, _now: TimePoint) {}

    /// Number of attempts that still hold units.
    #[must_use]
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Builds the message that this entry instance sends to `peer`.
    pub fn exchange_with(&mut self, _peer: SessionId, _now: TimePoint) -> ExchangeMessage {
        ExchangeMessage {
            version: MESSAGE_VERSION,
            from: self.session,
            applied: self.state.generation,
            evidence_age: None,
        }
    }

    /// Takes in a message of a peer. The answer to it is built by `exchange_with`.
    pub fn receive(&mut self, _message: &ExchangeMessage, _now: TimePoint) {}

    fn next_in_pool(&mut self, pool: &PoolName, now: TimePoint) -> Option<SchedulerAction> {
        loop {
            let key = *self.queues.get(pool)?.front()?;
            let Some(job) = self.jobs.get(key) else {
                self.queues.get_mut(pool)?.pop_front();
                continue;
            };
            if job.spec.deadline <= now {
                self.queues.get_mut(pool)?.pop_front();
                self.jobs.remove(key);
                return Some(SchedulerAction::Refuse {
                    job: key,
                    refusal: JobRefusal::new(ResultCode::DeadlinePassed),
                });
            }
            let worker = self.pick_worker(pool)?;
            self.queues.get_mut(pool)?.pop_front();
            return self.dispatch(key, worker);
        }
    }

    fn pick_worker(&mut self, pool: &PoolName) -> Option<InstanceName> {
        let free: Vec<&InstanceName> = self
            .state
            .instances
            .iter()
            .filter(|(_, instance)| instance.pool == *pool && instance.state.is_active())
            .filter(|(name, instance)| {
                self.in_use.get(*name).copied().unwrap_or_default() < instance.slots
            })
            .map(|(name, _)| name)
            .collect();
        if free.is_empty() {
            return None;
        }
        Some(free[self.rng.random_range(0..free.len())].clone())
    }

    fn dispatch(&mut self, key: JobKey, worker: InstanceName) -> Option<SchedulerAction> {
        self.jobs.get_mut(key)?.queued = false;
        *self.in_use.entry(worker.clone()).or_default() += 1;
        let address = self.state.instances.get(&worker)?.address.clone();
        let attempt = self.attempts.insert(RunningAttempt {
            job: key,
            worker: worker.clone(),
        });
        Some(SchedulerAction::Dispatch(DispatchOrder {
            job: key,
            attempt,
            worker,
            address,
            lease: self.policy.task_lease,
        }))
    }
}
