use rand::RngExt;

use super::pool_entry::SlotRequest;
use super::team_entry::PeerRequest;
use super::{JobScheduler, PoolIndex, TeamIndex, WorkerIndex};
use crate::exchange::{ExchangeMessage, LentResource, LoanOffer, RequestedUnits};
use crate::ids::SessionId;
use crate::ledger::{LoanRecord, ResourceKey};
use crate::queue::TimerEvent;
use crate::time::TimePoint;
use std::time::Duration;

/// Time after which a request expires unless the peer repeats it.
const REQUEST_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of open loans to one peer. The peer's reports list them, and 500 of them take
/// about 5 KB.
const MAX_LOANS: usize = 500;

/// Maximum number of loans in one message, which keeps the whole message below 64 KB.
const MAX_OFFERS: usize = 100;

impl JobScheduler {
    /// Replaces the requests of the sender and lends free units for them.
    pub(super) fn take_requests(&mut self, message: &ExchangeMessage, now: TimePoint) {
        let peer = message.from;
        for pool in &mut self.fleet.pools {
            pool.requests.retain(|request| request.peer != peer);
        }
        for team in &mut self.fleet.teams {
            team.requests.retain(|request| request.peer != peer);
        }
        let until = now.after(REQUEST_LIFETIME);
        for request in &message.requests {
            let units = request.units;
            match &request.what {
                RequestedUnits::Permits(name) => {
                    if let Some(team) = self.fleet.team_names.get(name).copied() {
                        let what = ();
                        self.fleet.teams[team.at()].requests.push(PeerRequest {
                            peer,
                            what,
                            units,
                            until,
                        });
                        self.lend_permits(team, now);
                    }
                }
                RequestedUnits::Slots { pool, team, size } => {
                    if let Some(pool) = self.fleet.pool_names.get(pool).copied() {
                        let flow =
                            self.fleet.team_names.get(team).and_then(|team| {
                                *self.fleet.pools[pool.at()].flows.get(team.at())?
                            });
                        let what = SlotRequest {
                            flow,
                            size: (*size).max(1),
                        };
                        self.fleet.pools[pool.at()].requests.push(PeerRequest {
                            peer,
                            what,
                            units,
                            until,
                        });
                        self.lend_slots(pool, now);
                    }
                }
                RequestedUnits::Worker(name) => {
                    if let Some(worker) = self.fleet.worker_names.get(name).copied() {
                        self.lend_worker(worker, peer, units, now);
                    }
                }
            }
        }
    }

    /// Lends free slots of a pool for requests while no local team is entitled to them. Returns
    /// whether anything was lent.
    pub(super) fn lend_slots(&mut self, pool: PoolIndex, now: TimePoint) -> bool {
        self.fleet.pools[pool.at()]
            .requests
            .retain(|request| request.until > now && request.units > 0);
        let mut lent = false;
        while self.may_dispatch() {
            let is_busy = self.next_flow(pool).is_some();
            if is_busy && !self.fleet.pools[pool.at()].is_over_entitlement() {
                break;
            }
            let Some(place) = self.next_request(pool, now) else {
                break;
            };
            let request = self.fleet.pools[pool.at()].requests[place];
            let size = request.what.size;
            let Some(worker) = self.lendable_worker(pool, size, now) else {
                break;
            };
            let free = self.fleet.workers[worker.at()].account.lendable();
            let units = if is_busy {
                size
            } else {
                free.min(request.units.max(size)) / size * size
            };
            if !self.lend(ResourceKey::Worker(worker), units, request.peer) {
                break;
            }
            let requests = &mut self.fleet.pools[pool.at()].requests;
            requests[place].units = request.units.saturating_sub(units);
            requests.retain(|request| request.units > 0);
            self.refresh_worker(worker, now);
            lent = true;
        }
        lent
    }

    /// Returns the position of the request whose team has the lowest usage for its weight.
    fn next_request(&self, pool: PoolIndex, now: TimePoint) -> Option<usize> {
        let usage = |request: &PeerRequest<SlotRequest>| {
            request.what.flow.map_or(0.0, |flow| {
                let flow = &self.flows[flow.at()];
                flow.normalised_usage(self.fleet.teams[flow.team.at()].weight, now)
            })
        };
        self.fleet.pools[pool.at()]
            .requests
            .iter()
            .enumerate()
            .min_by(|(_, one), (_, other)| usage(one).total_cmp(&usage(other)))
            .map(|(place, _)| place)
    }

    fn lendable_worker(
        &mut self,
        pool: PoolIndex,
        size: u32,
        now: TimePoint,
    ) -> Option<WorkerIndex> {
        let ready = &self.fleet.pools[pool.at()].ready;
        let start = self.rng.random_range(0..ready.len().max(1));
        let (before, after) = ready.split_at(start.min(ready.len()));
        after.iter().chain(before).copied().find(|worker| {
            let record = &self.fleet.workers[worker.at()];
            record.account.lendable() >= size
                && record.takes_work(now)
                && !record.health.quarantined
        })
    }

    /// Lends free permits of a team, at most half of them while local jobs of the team are queued.
    pub(super) fn lend_permits(&mut self, team: TeamIndex, now: TimePoint) {
        if !self.may_dispatch() {
            return;
        }
        let entry = &mut self.fleet.teams[team.at()];
        entry
            .requests
            .retain(|request| request.until > now && request.units > 0);
        let requests = std::mem::take(&mut entry.requests);
        for request in requests {
            let entry = &self.fleet.teams[team.at()];
            let waits = entry
                .flows
                .iter()
                .any(|flow| self.flows[flow.at()].queued > 0);
            let free = entry.account.lendable();
            let units = request.units.min(if waits { free / 2 } else { free });
            if units > 0 {
                self.lend(ResourceKey::Team(team), units, request.peer);
            }
            if units < request.units {
                let units = request.units - units;
                self.fleet.teams[team.at()]
                    .requests
                    .push(PeerRequest { units, ..request });
            }
        }
    }

    /// Lends slots of one worker and reserves the worker for the peer until the request expires.
    /// When both sides need the worker for a large job, the lower session gets it.
    fn lend_worker(&mut self, worker: WorkerIndex, peer: SessionId, units: u32, now: TimePoint) {
        let pool = self.fleet.workers[worker.at()].pool;
        let reserved = self.fleet.pools[pool.at()].reserved;
        if reserved.is_some_and(|(reserved, _)| reserved == worker) {
            if self.session < peer {
                return;
            }
            self.fleet.pools[pool.at()].reserved = None;
        }
        // A peer that does not know of the evacuation yet asks for the worker in vain.
        if !self.may_dispatch() || self.fleet.workers[worker.at()].zone_evacuated {
            return;
        }
        let until = now.after(REQUEST_LIFETIME);
        let record = &mut self.fleet.workers[worker.at()];
        let free = record.account.lendable().min(units);
        record.reserved_until = Some(until);
        self.timers.add(until, TimerEvent::Trial(worker));
        if free > 0 {
            self.lend(ResourceKey::Worker(worker), free, peer);
        }
        self.refresh_worker(worker, now);
    }

    pub(super) fn lend(&mut self, resource: ResourceKey, units: u32, peer: SessionId) -> bool {
        let made_at = self.fleet.generation();
        let brief = !self.fleet.view.contains(peer);
        let ledger = self.ledger.peer(peer);
        if ledger.lent.len() >= MAX_LOANS || units == 0 {
            return false;
        }
        ledger.lend(LoanRecord {
            resource,
            units,
            made_at,
            brief,
            void_at: None,
        });
        let account = self.account_mut(resource);
        account.lent += units;
        account.update_idle_minimum();
        self.requested_exchanges.insert(peer);
        true
    }

    /// Returns the loans that the peer has not closed.
    pub(super) fn loan_offers(&mut self, peer: SessionId) -> Vec<LoanOffer> {
        let Some(ledger) = self.ledger.peers.get(&peer) else {
            return Vec::new();
        };
        ledger
            .lent
            .range(ledger.peer_closed + 1..)
            .take(MAX_OFFERS)
            .map(|(sequence, loan)| LoanOffer {
                sequence: *sequence,
                resource: match loan.resource {
                    ResourceKey::Team(team) => {
                        LentResource::Permits(self.fleet.teams[team.at()].name.clone())
                    }
                    ResourceKey::Worker(worker) => {
                        LentResource::Slots(self.fleet.workers[worker.at()].name.clone())
                    }
                },
                units: loan.units,
                made_at: loan.made_at,
                brief: loan.brief,
            })
            .collect()
    }
}
