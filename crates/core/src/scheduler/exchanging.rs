use std::time::Duration;

use super::{FlowIndex, JobScheduler, PoolIndex};
use crate::exchange::{
    AgedPoint, ExchangeMessage, FlowReading, HeardRecord, MESSAGE_VERSION, name_hash, origin_hash,
    pair_hash,
};
use crate::ids::{Generation, SessionId};
use crate::queue::UsageMeter;
use crate::time::TimePoint;

/// Time without a new summary after which an origin counts as having no backlog and no running
/// work.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Shortest interval between periodic recalculations of the peers' usage.
const REMOTE_USAGE_INTERVAL: Duration = Duration::from_secs(1);

impl JobScheduler {
    /// Builds the message that this entry instance sends to `peer`.
    pub fn exchange_with(&mut self, peer: SessionId, now: TimePoint) -> ExchangeMessage {
        self.requested_exchanges.remove(&peer);
        self.refresh_summary(now);
        let mut message = ExchangeMessage::new(self.session, self.fleet.generation());
        message.evidence_age = self.evidence.map(|evidence| evidence.age(now));
        message.heard = self.heard.relay(peer, now);
        message.listed = self.usage.list(peer, now);
        message.usage = self.usage.relay(self.session, peer, now);
        message.requests = self.loan_requests(peer, now);
        message.loans = self.loan_offers(peer);
        message.report = self.ledger.peer(peer).report();
        message.leaving = self.leaving_records(now);
        message
    }

    /// Processes a message from a peer. `exchange_with` builds the reply.
    pub fn receive(&mut self, message: &ExchangeMessage, now: TimePoint) {
        if message.version != MESSAGE_VERSION || message.from == self.session {
            return;
        }
        self.record_heard(message, now);
        let returned = self
            .ledger
            .peer(message.from)
            .settle_report(&message.report);
        for (resource, units) in returned {
            self.account_mut(resource).lent -= units;
            self.refresh(resource, now);
        }
        self.accept_loans(message, now);
        for record in &message.leaving {
            if let Some(worker) = self.fleet.worker_names.get(&record.worker).copied() {
                self.set_leaving(worker, AgedPoint::new(record.age, now), now);
            }
        }
        self.record_usage(message, now);
        self.take_requests(message, now);
    }

    /// Sets the age of this entry instance's own evidence of the head.
    pub fn set_evidence(&mut self, age: Option<Duration>, now: TimePoint) {
        self.evidence = age.map(|age| AgedPoint::new(age, now));
    }

    /// Returns the other sessions heard from within a time, directly or by relay: the session, the
    /// time since it was last heard from, the age of its store evidence and its applied generation.
    #[must_use]
    pub fn heard(
        &self,
        within: Duration,
        now: TimePoint,
    ) -> Vec<(SessionId, Duration, Option<Duration>, Generation)> {
        self.heard
            .records(within, now)
            .into_iter()
            .map(|record| {
                let HeardRecord {
                    session,
                    age,
                    evidence_age,
                    generation,
                } = record;
                (session, age, evidence_age, generation)
            })
            .collect()
    }

    /// Returns the age of the newest evidence of the head that peers relayed.
    #[must_use]
    pub fn newest_evidence(&self, now: TimePoint) -> Option<Duration> {
        self.heard
            .records(Duration::MAX, now)
            .into_iter()
            .filter_map(|record| record.evidence_age)
            .min()
    }

    fn record_heard(&mut self, message: &ExchangeMessage, now: TimePoint) {
        let direct = HeardRecord {
            session: message.from,
            age: Duration::ZERO,
            evidence_age: message.evidence_age,
            generation: message.applied,
        };
        self.heard.record(&direct, now);
        for record in &message.heard {
            if record.session != self.session {
                self.heard.record(record, now);
            }
        }
    }

    /// Updates this instance's usage summary unless the minimum interval has not passed yet.
    fn refresh_summary(&mut self, now: TimePoint) {
        let gap = self.policy.min_summary_interval;
        if self.summary_at.is_some_and(|at| now.since(at) < gap) {
            return;
        }
        self.summary_at = Some(now);
        for flow in self.flows.iter().skip(self.usage.pairs.len()) {
            let pool = name_hash(self.fleet.pools[flow.pool.at()].name.as_str());
            let team = name_hash(self.fleet.teams[flow.team.at()].name.as_str());
            self.usage.pairs.push(pair_hash(pool, team));
        }
        let flows = self.flows.iter().zip(&self.usage.pairs);
        let readings: Vec<FlowReading> = flows
            .map(|(flow, pair)| FlowReading {
                pair: *pair,
                usage: flow.local_usage(now),
                held: flow.held,
                queued: flow.queued,
            })
            .collect();
        self.usage.update_own(self.session, &readings, now);
    }

    fn record_usage(&mut self, message: &ExchangeMessage, now: TimePoint) {
        if !message.listed.is_empty() {
            let (own, peer) = (self.session, message.from);
            self.usage.record_listed(own, peer, &message.listed);
        }
        let mut news = false;
        for summary in &message.usage {
            if summary.origin == origin_hash(self.session) {
                continue;
            }
            if self.usage.record_summary(summary, now) {
                self.resolve(summary.origin);
                news = true;
            }
        }
        if news {
            self.sum_remote_usage(now);
            self.revise(now);
        }
    }

    /// Maps the pairs listed by an origin to local flows.
    fn resolve(&mut self, origin: u32) {
        let Some(mut usage) = self.usage.origins.remove(&origin) else {
            return;
        };
        for entry in usage.unresolved() {
            entry.flow = self.pair_flow(entry.pair);
        }
        self.usage.origins.insert(origin, usage);
    }

    /// Returns the flow of a pair, or `None` if the pool or the team is unknown here.
    fn pair_flow(&mut self, pair: u32) -> Option<FlowIndex> {
        let pools = self.fleet.pool_hashes.iter();
        let known = pools.filter_map(|(hash, pool)| {
            let team = pair_hash(*hash, pair);
            Some((*hash, *pool, *self.fleet.team_hashes.get(&team)?))
        });
        // The iteration order of the map varies; the lowest hash makes the result deterministic.
        let (_, pool, team) = known.min_by_key(|(hash, ..)| *hash)?;
        Some(self.flow(pool, team))
    }

    /// Recalculates the usage of the peers when the last calculation is too old. Otherwise the
    /// backlog of an unresponsive peer would count forever when no new summaries arrive.
    pub(super) fn refresh_remote_usage(&mut self, now: TimePoint) {
        if now.since(self.remote_usage_at) >= REMOTE_USAGE_INTERVAL {
            self.sum_remote_usage(now);
        }
    }

    /// Sums the usage of the peers, projected to `now`.
    fn sum_remote_usage(&mut self, now: TimePoint) {
        self.remote_usage_at = now;
        let mut before = Vec::new();
        for flow in &mut self.flows {
            before.push(flow.is_backlogged());
            flow.remote = UsageMeter::new(0.0, now);
            flow.remote_held = 0.0;
            flow.remote_queued = 0.0;
        }
        for (origin, usage) in &self.usage.origins {
            if *origin == origin_hash(self.session) {
                continue;
            }
            let age = usage.created.age(now);
            let timed_out = age >= PEER_TIMEOUT;
            for entry in usage.entries.values() {
                let Some(flow) = entry.flow else { continue };
                let flow = &mut self.flows[flow.at()];
                let held = if timed_out { 0.0 } else { entry.rate };
                let usage = UsageMeter::project(entry.usage, held, flow.decay_s, age);
                flow.remote.add(usage);
                flow.remote_held += held;
                if !timed_out {
                    flow.remote_queued += f64::from(entry.queued);
                }
            }
        }
        for (position, was) in before.into_iter().enumerate() {
            let is_backlogged = self.flows[position].is_backlogged();
            let flow = FlowIndex::with_position(position);
            if was != is_backlogged {
                self.record_backlog(flow, is_backlogged);
            }
            if !was && is_backlogged {
                self.start_new_backlog(flow, now);
            }
        }
        for position in 0..self.fleet.pools.len() {
            self.update_entitlement(PoolIndex::with_position(position), now);
        }
    }
}
