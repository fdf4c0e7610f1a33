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
/// After any call, the user must call `next_action` until it returns `None`, and again at the time
/// that `next_wake` returns. Every job that `submit` accepts gets one final result: a `Refuse`
/// action, a `finish` outcome other than `Retry`, or the caller's own `cancel`.
#[derive(Debug)]
pub struct JobScheduler {
    pub(super) session: SessionId,
    pub(super) policy: SchedulerPolicy,
    pub(super) rng: Pcg64Mcg,
    pub(super) fleet: FleetIndex,
    pub(super) jobs: JobTable,
    pub(super) attempts: SlotMap<AttemptKey, AttemptRecord>,
    /// Number of attempts that hold units.
    pub(super) holding_attempts: usize,
    /// Attempts on workers that a generation drains, moves or removes, with that generation.
    pub(super) conflicting_attempts: BTreeSet<(Generation, AttemptKey)>,
    pub(super) flows: Vec<FlowRecord>,
    pub(super) timers: TimerQueue,
    pub(super) actions: VecDeque<SchedulerAction>,
    /// Pools to serve, in which a dispatch may be possible.
    pub(super) marked: Vec<PoolIndex>,
    pub(super) ledger: LoanLedger,
    /// Resources whose accounts wait for a generation to settle.
    pub(super) pending: BTreeSet<ResourceKey>,
    pub(super) heard: HeardTable,
    pub(super) usage: UsageTable,
    /// Time of the last sum of the peers' usage.
    pub(super) remote_usage_at: TimePoint,
    pub(super) summary_at: Option<TimePoint>,
    pub(super) retry: RetryBudget,
    pub(super) evidence: Option<AgedPoint>,
    pub(super) keyed_work_allowed: bool,
    pub(super) dispatch_allowed: bool,
    pub(super) is_shutting_down: bool,
    /// Peers with which an extra exchange is requested.
    pub(super) requested_exchanges: BTreeSet<SessionId>,
    pub(super) exchange_at: TimePoint,
    pub(super) last_requested: Option<SessionId>,
    /// Current backoff between extra exchanges, in revisions.
    pub(super) request_backoff: u32,
    /// Revisions left until the next extra exchange can be requested.
    pub(super) request_backoff_left: u32,
    pub(super) has_revision_timer: bool,
    pub(super) has_idle_timer: bool,
}

impl JobScheduler {
    /// Creates a scheduler without fleet state. `seed` seeds the random choice of workers.
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
            holding_attempts: 0,
            conflicting_attempts: BTreeSet::new(),
            flows: Vec::new(),
            timers: TimerQueue::default(),
            actions: VecDeque::new(),
            marked: Vec::new(),
            ledger: LoanLedger::default(),
            pending: BTreeSet::new(),
            heard: HeardTable::default(),
            usage: UsageTable::new(decay_s),
            remote_usage_at: TimePoint::ORIGIN,
            summary_at: None,
            retry: RetryBudget::new(),
            evidence: None,
            keyed_work_allowed: true,
            dispatch_allowed: true,
            is_shutting_down: false,
            requested_exchanges: BTreeSet::new(),
            exchange_at: TimePoint::ORIGIN,
            last_requested: None,
            request_backoff: 0,
            request_backoff_left: 0,
            has_revision_timer: false,
            has_idle_timer: false,
        }
    }

    /// Applies `state`, which replaces the current fleet state if it is newer. `settled` is the
    /// highest settled generation.
    ///
    /// Generations must be passed in order. When generations are skipped, their allocations are
    /// unknown, so no job starts on units owned here until `state` is settled.
    pub fn apply(&mut self, state: &FleetState, settled: Generation, now: TimePoint) {
        let newer = self
            .fleet
            .applied
            .is_none_or(|applied| state.generation > applied);
        let settled_before = self.fleet.settled;
        self.record_settled(settled, now);
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

    /// Returns the highest generation with which nothing running at this entry instance conflicts.
    #[must_use]
    pub fn quiesced(&self) -> Generation {
        let mut bound = self.fleet.generation();
        let before = |generation: Generation| Generation(generation.0.saturating_sub(1));
        if let Some((generation, _)) = self.conflicting_attempts.first() {
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

    /// Returns the next action, or `None` when there is nothing to do now.
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

    /// Returns the time at which `next_action` must be called if no other call comes first.
    #[must_use]
    pub fn next_wake(&self) -> Option<TimePoint> {
        self.timers.next_point()
    }

    /// Records that a backend server is leaving.
    pub fn mark_leaving(&mut self, worker: &InstanceName, now: TimePoint) {
        if let Some(index) = self.fleet.worker_names.get(worker).copied() {
            self.set_leaving(index, AgedPoint::new(Duration::ZERO, now), now);
        }
    }

    /// Returns the number of attempts that hold units.
    #[must_use]
    pub fn running(&self) -> usize {
        self.holding_attempts
    }

    /// Returns the number of jobs that are queued or whose attempt has no outcome yet. A job that
    /// its caller abandoned counts until the attempt has an outcome or a confirmed end.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of job records read or changed so far, a machine-independent measure of
    /// the cost of calls.
    #[must_use]
    pub fn job_accesses(&self) -> u64 {
        self.jobs.accesses()
    }

    /// Returns the retries spent so far, by reason.
    #[must_use]
    pub const fn retries(&self) -> &RetryBudget {
        &self.retry
    }

    /// Allows or forbids all dispatches, for example while the state may be outdated after a pause.
    /// Queued jobs stay queued.
    pub fn set_dispatch_allowed(&mut self, allowed: bool) {
        self.dispatch_allowed = allowed;
    }

    /// Allows or forbids jobs that need a key. While they are forbidden, queued keyed jobs are
    /// refused at once and new ones at submission or dispatch.
    pub fn set_keyed_work_allowed(&mut self, allowed: bool, now: TimePoint) {
        self.keyed_work_allowed = allowed;
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
