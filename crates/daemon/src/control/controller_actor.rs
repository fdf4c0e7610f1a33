use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use sesamedeal_core::control::{ControlNote, ControlPolicy, Controller};
use sesamedeal_core::ids::{Generation, OperationId};
use sesamedeal_core::lease::{LeaseAction, LeaseCandidate, LeasePolicy, LeaseRecord};
use sesamedeal_core::membership::{ListedInstance, MembershipPolicy, SessionState};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::PutCondition;
use sesamedeal_store::protocol::WriteReply;
use sesamedeal_store::rows::CONTROLLER_LEASE;
use slog::{info, warn};
use xtra::{Actor, Context, Handler};

use super::session_cache::SessionCache;
use crate::entry_context::EntryContext;
use crate::settings::DaemonSettings;

/// Renewals of the lease within its expiry. Two may be lost before another candidate takes over.
const RENEWALS_PER_EXPIRY: u32 = 3;

/// Ticks in each period of the controller. While a generation is not settled there is a step with
/// each tick, because planned actions wait for it.
const TICKS_PER_PERIOD: u32 = 4;

/// Most steps in immediate succession, so that the mailbox is read between them.
const ROUNDS_PER_TICK: u32 = 4;

/// Contends for the controller's lease, and runs the controller while it holds the lease.
#[derive(Debug, Actor)]
pub(crate) struct ControllerActor {
    pub(super) context: Arc<EntryContext>,
    pub(super) candidate: LeaseCandidate,
    /// Present while this session holds the lease.
    pub(super) controller: Option<Controller>,
    pub(super) notes: Vec<ControlNote>,
    pub(super) sessions: SessionCache,
    /// Newest generation that was found not to be settled, and when it was found.
    pending: Option<(Generation, TimePoint)>,
    /// When the next step is due, unless a generation is to be settled before.
    next_step: TimePoint,
    /// The platform's list and when it was asked for.
    pub(super) list: Option<(Vec<ListedInstance>, TimePoint)>,
    /// Last claim that the cleanup has looked at.
    pub(super) claims_after: Option<CompactString>,
}

/// Runs one step.
#[derive(Debug)]
pub(crate) struct ControlTick;

impl ControllerActor {
    pub(crate) fn new(context: Arc<EntryContext>) -> Self {
        let expiry = context.settings.controller_takeover;
        let policy = LeasePolicy {
            expiry,
            renewal: expiry / RENEWALS_PER_EXPIRY,
        };
        Self {
            candidate: LeaseCandidate::new(context.session, policy),
            context,
            controller: None,
            notes: Vec::new(),
            sessions: SessionCache::default(),
            pending: None,
            next_step: TimePoint::ORIGIN,
            list: None,
            claims_after: None,
        }
    }

    /// Decides on the newest read of the lease row by the follower.
    async fn contend(&mut self) {
        if *self.context.phase.borrow() != SessionState::Active {
            return;
        }
        let Some(sighting) = *self.context.lease.lock() else {
            return;
        };
        let lease = sighting.row.as_ref().map(|(lease, _)| lease);
        match self.candidate.step(lease, sighting.sent) {
            LeaseAction::Wait => {}
            LeaseAction::Acquire(record) => {
                let version = sighting.row.map(|(_, version)| version);
                self.acquire(record, version).await;
            }
            // The answer to the write that took or renewed the lease was lost.
            LeaseAction::Renew(_) | LeaseAction::Hold => {
                if let Some(&record) = lease {
                    self.take_office(record);
                }
            }
        }
    }

    async fn acquire(&mut self, record: LeaseRecord, version: Option<u64>) {
        let context = &self.context;
        let sent = context.clock.now();
        let condition = version.map_or(PutCondition::Absent, PutCondition::Version);
        let operation = new_operation();
        let reply = context
            .client
            .put_row(CONTROLLER_LEASE, &record, condition, operation);
        match reply.await {
            Ok(WriteReply::Committed) => {
                self.candidate.confirm(&record, sent);
                self.take_office(record);
            }
            Ok(WriteReply::Conflict { .. }) => self.candidate.relinquish(),
            Err(failure) => {
                warn!(context.logger, "lease not taken"; "error" => %failure);
            }
        }
    }

    fn take_office(&mut self, record: LeaseRecord) {
        let settings = &self.context.settings;
        let membership = MembershipPolicy {
            list_lag: settings.list_lag + settings.list_period,
            task_lease: settings.task_lease,
            clock_margin: settings.clock_margin,
        };
        let policy = ControlPolicy {
            membership,
            plan: settings.plan_policy(),
            ..ControlPolicy::new()
        };
        self.controller = Some(Controller::new(policy));
        self.list = None;
        self.sessions = SessionCache::default();
        info!(self.context.logger, "role"; "controller" => true, "epoch" => record.epoch);
    }

    pub(super) fn step_down(&mut self) {
        self.candidate.relinquish();
        if self.controller.take().is_some() {
            info!(self.context.logger, "role"; "controller" => false);
        }
    }
}

impl Handler<ControlTick> for ControllerActor {
    type Return = ();

    async fn handle(&mut self, _: ControlTick, _: &mut Context<Self>) {
        let now = self.context.clock.now();
        let is_settling = self.is_settling(now);
        if now < self.next_step && !is_settling {
            return;
        }
        self.next_step = now.after(self.context.settings.controller_period - self.tick_slack());
        if self.controller.is_none() {
            self.contend().await;
        }
        if self.controller.is_some() {
            self.run_rounds().await;
        }
    }
}

impl ControllerActor {
    /// Runs steps for as long as each of them changes something, up to a limit.
    async fn run_rounds(&mut self) {
        for _ in 0..ROUNDS_PER_TICK {
            match self.round().await {
                Ok(true) if self.controller.is_some() => {}
                Ok(_) => return,
                Err(failure) => {
                    warn!(self.context.logger, "controller's step failed"; "error" => %failure);
                    return;
                }
            }
        }
    }

    /// Whether a generation is likely to settle soon. What keeps it from settling ends within the
    /// task lease, unless an entry instance is in trouble.
    fn is_settling(&mut self, now: TimePoint) -> bool {
        let keeper = &self.context.keeper;
        let newest = keeper.state().generation;
        if self.controller.is_none() || keeper.settled() >= newest {
            self.pending = None;
            return false;
        }
        let since = match self.pending {
            Some((generation, since)) if generation == newest => since,
            _ => now,
        };
        self.pending = Some((newest, since));
        now.since(since) < self.context.settings.task_lease
    }

    /// Ticks come a little early or late; a step is not put off by a whole tick for that.
    fn tick_slack(&self) -> Duration {
        tick_period(&self.context.settings) / 2
    }
}

/// Time between two ticks of the controller.
pub(crate) fn tick_period(settings: &DaemonSettings) -> Duration {
    settings.controller_period / TICKS_PER_PERIOD
}

/// A random operation id.
pub(super) fn new_operation() -> OperationId {
    OperationId(rand::rng().random())
}
