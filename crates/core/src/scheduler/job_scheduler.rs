use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slotmap::SlotMap;

use super::fleet_index::FleetIndex;
use super::job_record::AttemptRecord;
use super::{AttemptKey, JobTable, PoolIndex, SchedulerAction, SchedulerPolicy};
use crate::exchange::{AgedPoint, HeardTable, UsageTable};
use crate::fleet::FleetState;
use crate::ids::{Generation, InstanceName, SessionId};
use crate::ledger::{LoanLedger, ResourceKey};
use crate::queue::{FlowRecord, TimerQueue, decay_with_half_life};
use crate::retry::RetryBudget;
use crate::time::TimePoint;

/// Places the jobs of one entry instance on the workers of its pools.
///
/// After any call, `next_action` has to be called until it returns none, and again at the point
/// that `next_wake` returns. Every job that `submit` accepted gets one final result: a `Refuse`
/// action, a `finish` outcome other than `Retry`, or the caller's own `cancel`.
#[derive(Debug)]
pub struct JobScheduler {
    pub(super) session: SessionId,
    pub(super) policy: SchedulerPolicy,
    pub(super) rng: Pcg64Mcg,
    pub(super) fleet: FleetIndex,
    pub(super) jobs: JobTable,
    pub(super) attempts: SlotMap<AttemptKey, AttemptRecord>,
    /// Attempts that hold units.
    pub(super) holding: usize,
    /// Attempts on workers that a generation drains or removes.
    pub(super) against: BTreeSet<(Generation, AttemptKey)>,
    pub(super) flows: Vec<FlowRecord>,
    pub(super) timers: TimerQueue,
    pub(super) actions: VecDeque<SchedulerAction>,
    /// Pools in which something may be dispatched.
    pub(super) marked: Vec<PoolIndex>,
    pub(super) ledger: LoanLedger,
    /// Accounts that wait for a generation to settle.
    pub(super) pending: BTreeSet<ResourceKey>,
    pub(super) heard: HeardTable,
    pub(super) usage: UsageTable,
    /// Point at which the usage of the peers was last added up.
    pub(super) usage_at: TimePoint,
    pub(super) summary_at: Option<TimePoint>,
    pub(super) retry: RetryBudget,
    pub(super) evidence: Option<AgedPoint>,
    pub(super) keyed_allowed: bool,
    pub(super) dispatch_allowed: bool,
    pub(super) closing: bool,
    /// Peers with which an exchange beyond the regular ones is wanted.
    pub(super) wanted: BTreeSet<SessionId>,
    pub(super) exchange_at: TimePoint,
    pub(super) last_asked: Option<SessionId>,
    /// Revisions between two requests for extra exchanges.
    pub(super) ask_pause: u32,
    /// Revisions until the next request for an extra exchange.
    pub(super) ask_wait: u32,
    pub(super) revising: bool,
    pub(super) idling: bool,
}

impl JobScheduler {
    /// Creates a scheduler without fleet state, for the session and with a seed for its choices.
    #[must_use]
    pub fn new(session: SessionId, policy: SchedulerPolicy, seed: u64) -> Self {
        let decay_s = decay_with_half_life(policy.share_half_life);
        Self {
            session,
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            fleet: FleetIndex::default(),
            jobs: JobTable::default(),
            attempts: SlotMap::with_key(),
            holding: 0,
            against: BTreeSet::new(),
            flows: Vec::new(),
            timers: TimerQueue::default(),
            actions: VecDeque::new(),
            marked: Vec::new(),
            ledger: LoanLedger::default(),
            pending: BTreeSet::new(),
            heard: HeardTable::default(),
            usage: UsageTable::new(decay_s),
            usage_at: TimePoint::ORIGIN,
            summary_at: None,
            retry: RetryBudget::new(),
            evidence: None,
            keyed_allowed: true,
            dispatch_allowed: true,
            closing: false,
            wanted: BTreeSet::new(),
            exchange_at: TimePoint::ORIGIN,
            last_asked: None,
            ask_pause: 0,
            ask_wait: 0,
            revising: false,
            idling: false,
        }
    }

    /// Acts under `state` from now on. `settled` is the highest settled generation.
    ///
    /// Each generation has to be passed in turn. When generations are left out, their allocations
    /// are unknown, so that nothing starts on own units until `state` is settled.
    pub fn apply(&mut self, state: &FleetState, settled: Generation, now: TimePoint) {
        let newer = self
            .fleet
            .applied
            .is_none_or(|applied| state.generation > applied);
        let settled_before = self.fleet.settled;
        self.note_settled(settled, now);
        if newer {
            self.update_fleet(state, now);
        }
        if self.fleet.settled >= self.fleet.generation() {
            self.fleet.unsettled_since = None;
        } else if self.fleet.settled > settled_before {
            self.fleet.unsettled_since = Some(now);
        } else {
            self.fleet.unsettled_since.get_or_insert(now);
        }
    }

    /// Highest generation that nothing running at this entry instance contradicts.
    #[must_use]
    pub fn quiesced(&self) -> Generation {
        let mut bound = self.fleet.generation();
        let before = |generation: Generation| Generation(generation.0.saturating_sub(1));
        if let Some((generation, _)) = self.against.first() {
            bound = bound.min(before(*generation));
        }
        if let Some(generation) = self.ledger.first_void() {
            bound = bound.min(before(generation));
        }
        for resource in &self.pending {
            let account = self.account(*resource);
            for (generation, share) in account.unsettled_steps() {
                let lent = if account.lent == 0 {
                    0
                } else {
                    self.ledger.valid_lent(*resource, generation)
                };
                if account.in_use + lent > share + account.borrowed {
                    bound = bound.min(before(generation));
                }
            }
        }
        bound
    }

    /// Next thing to do, until there is none.
    pub fn next_action(&mut self, now: TimePoint) -> Option<SchedulerAction> {
        self.run_timers(now);
        self.flush_exchanges(now);
        loop {
            if let Some(action) = self.actions.pop_front() {
                return Some(action);
            }
            if !self.may_dispatch() {
                return None;
            }
            let pool = *self.marked.last()?;
            match self.serve_pool(pool, now) {
                Some(action) => return Some(action),
                None => {
                    self.fleet.pools[pool.at()].marked = false;
                    self.marked.retain(|marked| *marked != pool);
                    self.flush_exchanges(now);
                }
            }
        }
    }

    /// Point at which `next_action` has something to do without another call.
    #[must_use]
    pub fn next_wake(&self) -> Option<TimePoint> {
        self.timers.next_point()
    }

    /// Takes note that a backend server is leaving.
    pub fn mark_leaving(&mut self, worker: &InstanceName, now: TimePoint) {
        if let Some(index) = self.fleet.worker_names.get(worker).copied() {
            self.set_leaving(index, AgedPoint::new(Duration::ZERO, now), now);
        }
    }

    /// Refuses all further jobs and all queued ones, ahead of a shutdown.
    pub fn shut_down(&mut self, now: TimePoint) {
        self.closing = true;
        self.refuse_queued(crate::code::ResultCode::ShuttingDown, now, |_| true);
    }

    /// Number of attempts that still hold units.
    #[must_use]
    pub fn running(&self) -> usize {
        self.holding
    }

    /// Number of jobs that are queued or whose attempt has neither an outcome nor, when nobody
    /// waits for it, a confirmed end.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Records of jobs read or changed so far: the cost of calls in steps, on any machine.
    #[must_use]
    pub fn job_accesses(&self) -> u64 {
        self.jobs.accesses()
    }

    /// Retries spent so far, by reason.
    #[must_use]
    pub const fn retries(&self) -> &RetryBudget {
        &self.retry
    }

    /// Allows or forbids all dispatches, for instance after a pause until the state is known to
    /// be current. Queued jobs stay queued.
    pub fn set_dispatch_allowed(&mut self, allowed: bool) {
        self.dispatch_allowed = allowed;
    }

    /// Allows or forbids work that needs a key. When it is forbidden, queued keyed jobs are
    /// refused at once and new ones at submission or dispatch.
    pub fn set_keyed_work_allowed(&mut self, allowed: bool, now: TimePoint) {
        self.keyed_allowed = allowed;
        if !allowed {
            self.refuse_queued(crate::code::ResultCode::StaleState, now, |job| {
                job.key.is_some()
            });
        }
    }

    pub(super) fn may_dispatch(&self) -> bool {
        self.dispatch_allowed && !self.fleet.is_behind()
    }

    pub(super) fn mark_pool(&mut self, pool: PoolIndex) {
        let entry = &mut self.fleet.pools[pool.at()];
        if !entry.marked {
            entry.marked = true;
            self.marked.push(pool);
        }
    }
}
