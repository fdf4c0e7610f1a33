use std::collections::BTreeMap;
use std::time::Duration;

use sesamedeal_core::code::ResultCode;
use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::{RequestId, SessionId};
use sesamedeal_core::scheduler::{
    AttemptKey, AttemptOutcome, JobKey, JobRefusal, JobScheduler, JobSpec, SchedulerAction,
    SchedulerPolicy,
};
use sesamedeal_core::time::TimePoint;

use super::caller_group::CallerGroup;
use super::share_fleet::ShareFleet;
use super::share_simulation::{JobFate, MEAN_RUN};

/// Time between two exchanges of one entry instance.
const EXCHANGE_GAP: Duration = Duration::from_millis(500);

/// Time after which a caller comes back when it was not told when.
const DEFAULT_RETRY: Duration = Duration::from_millis(500);

/// Schedulers of all entry instances, with exchanges in virtual time and without network delay.
#[derive(Debug)]
pub(super) struct EntryFleet {
    schedulers: Vec<JobScheduler>,
    sessions: Vec<SessionId>,
    jobs: BTreeMap<(usize, JobKey), usize>,
    next_exchange: Vec<TimePoint>,
    turns: Vec<usize>,
    /// Whether usage and loans are exchanged. Without it the split of all units is static.
    is_exchanging: bool,
}

impl EntryFleet {
    /// Creates one scheduler per session of the state's view.
    pub(super) fn new(state: &FleetState, is_exchanging: bool, seed: u64) -> Self {
        let sessions = state.view.sessions.clone();
        let schedulers = sessions
            .iter()
            .map(|session| {
                let policy = SchedulerPolicy::new();
                let mut scheduler = JobScheduler::new(*session, policy, seed ^ session.0);
                scheduler.apply(state, state.generation, TimePoint::ORIGIN);
                scheduler
            })
            .collect();
        let count = sessions.len();
        let offset = |number| EXCHANGE_GAP.mul_f64(number as f64 / count as f64);
        Self {
            schedulers,
            sessions,
            jobs: BTreeMap::new(),
            next_exchange: (0..count)
                .map(|number| TimePoint::new(offset(number)))
                .collect(),
            turns: (0..count).collect(),
            is_exchanging,
        }
    }

    /// Submits a job of a group; returns the refusal, if any, with the time to come back.
    pub(super) fn submit(
        &mut self,
        fleet: &ShareFleet,
        number: usize,
        group: &CallerGroup,
        deadline: TimePoint,
        now: TimePoint,
    ) -> Option<(ResultCode, Duration)> {
        let team = &fleet.teams[group.team];
        let spec = JobSpec {
            request: RequestId::new("measure"),
            team: team.name.clone(),
            key: team.key.clone(),
            pool: fleet.pools[group.pool].name.clone(),
            cores: 1,
            memory_mb: 100,
            run: MEAN_RUN,
            urgent: false,
            idempotent: true,
            deadline,
        };
        match self.schedulers[group.entry].submit(spec, now) {
            Ok(job) => {
                self.jobs.insert((group.entry, job), number);
                None
            }
            Err(refusal) => Some(refusal_parts(refusal)),
        }
    }

    pub(super) fn finish(&mut self, entry: usize, attempt: AttemptKey, now: TimePoint) {
        self.schedulers[entry].finish(attempt, AttemptOutcome::Answered, now);
    }

    /// Exchanges in turn and carries out all actions; returns what became of jobs, by group.
    pub(super) fn act(&mut self, now: TimePoint) -> Vec<(usize, JobFate)> {
        self.exchange_in_turn(now);
        let mut fates = Vec::new();
        for entry in 0..self.schedulers.len() {
            while let Some(action) = self.schedulers[entry].next_action(now) {
                match action {
                    SchedulerAction::Dispatch(order) => {
                        let attempt = Some(order.attempt);
                        let fate = JobFate::Started { entry, attempt };
                        fates.extend(self.jobs.remove(&(entry, order.job)).zip(Some(fate)));
                    }
                    SchedulerAction::Refuse { job, refusal } => {
                        let (code, retry_after) = refusal_parts(refusal);
                        let fate = JobFate::Refused { code, retry_after };
                        fates.extend(self.jobs.remove(&(entry, job)).zip(Some(fate)));
                    }
                    SchedulerAction::Exchange { peer } => {
                        let to = self.sessions.iter().position(|other| *other == peer);
                        self.exchange(entry, to.unwrap_or(entry), now);
                    }
                    // Only urgent jobs stop tasks, and there are none.
                    SchedulerAction::Stop { .. } => {}
                }
            }
        }
        fates
    }

    fn exchange_in_turn(&mut self, now: TimePoint) {
        let count = self.schedulers.len();
        for number in 0..count {
            if now >= self.next_exchange[number] {
                self.next_exchange[number] = now.after(EXCHANGE_GAP);
                let next = (self.turns[number] + 1) % count;
                self.turns[number] = if next == number {
                    (next + 1) % count
                } else {
                    next
                };
                self.exchange(number, self.turns[number], now);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: usize, now: TimePoint) {
        if from == to || !self.is_exchanging {
            return;
        }
        let message = self.schedulers[from].exchange_with(self.sessions[to], now);
        self.schedulers[to].receive(&message, now);
        let answer = self.schedulers[to].exchange_with(self.sessions[from], now);
        self.schedulers[from].receive(&answer, now);
    }
}

fn refusal_parts(refusal: JobRefusal) -> (ResultCode, Duration) {
    (refusal.code, refusal.retry_after.unwrap_or(DEFAULT_RETRY))
}
