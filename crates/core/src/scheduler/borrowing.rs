use std::time::Duration;

use super::team_entry::TeamEntry;
use super::{JobScheduler, PoolIndex, WorkerIndex};
use crate::exchange::{ExchangeMessage, LentResource, LoanOffer, LoanRequest, RequestedUnits};
use crate::ids::SessionId;
use crate::ledger::{LoanRecord, ResourceKey};
use crate::queue::FlowBlock;
use crate::time::TimePoint;

/// Maximum number of units in one request.
const MAX_UNITS: u32 = 1_000;

/// Maximum number of requests in one message.
const MAX_REQUESTS: usize = 64;

/// Time without a further settled generation after which units borrowed under older generations are
/// returned. Without faults, a generation settles sooner, or as soon as the tasks that delay it
/// have ended.
const UNSETTLED_LIMIT: Duration = Duration::from_secs(5);

/// Time for which a team counts as short of permits after a job had to wait for one. A permit that
/// becomes free unblocks the team until the next dispatch, and an exchange in between must still
/// request permits.
const SHORTAGE_TIME: Duration = Duration::from_millis(500);

impl JobScheduler {
    /// Accepts the loans offered in a message.
    pub(super) fn accept_loans(&mut self, message: &ExchangeMessage, now: TimePoint) {
        for offer in &message.loans {
            if !self.ledger.peer(message.from).accept(offer.sequence) {
                continue;
            }
            // A loan that is not stored here counts as closed, and the lender takes its units back.
            let Some(resource) = self.offered_resource(offer) else {
                continue;
            };
            let loan = LoanRecord {
                resource,
                units: offer.units,
                made_at: offer.made_at,
                brief: offer.brief,
                void_at: None,
            };
            let ledger = self.ledger.peer(message.from);
            ledger.borrowed.insert(offer.sequence, loan);
            let account = self.account_mut(resource);
            account.borrowed += offer.units;
            account.restart_idle_periods();
            self.request_backoff = 0;
            self.request_backoff_left = 0;
            self.start_idle_timer(now);
            self.refresh(resource, now);
        }
    }

    /// Returns the resource of a loan, or `None` if the loan is void or the resource is unknown.
    fn offered_resource(&self, offer: &LoanOffer) -> Option<ResourceKey> {
        let resource = match &offer.resource {
            LentResource::Permits(name) => ResourceKey::Team(*self.fleet.team_names.get(name)?),
            LentResource::Slots(name) => ResourceKey::Worker(*self.fleet.worker_names.get(name)?),
        };
        let lowered = self.account(resource).lowered();
        let mut oldest = self.fleet.view_changed.max(lowered);
        if offer.brief {
            oldest = oldest.max(self.fleet.generation());
        }
        (offer.made_at >= oldest).then_some(resource)
    }

    /// Returns the void units that no attempt can be using.
    ///
    /// Lent units are never borrowed ones. A loan to a dead peer must not delay the return of void
    /// units, because then the generation that takes that loan back would never settle.
    pub(super) fn return_void(&mut self, resource: ResourceKey) {
        let account = self.account(resource);
        let unused = account.void.saturating_sub(account.in_use);
        let units = account.void.min(account.free().max(unused));
        if units > 0 {
            self.return_units(resource, units);
        }
    }

    /// Returns borrowed slots of a finished attempt when they exceed the entitlement here.
    pub(super) fn return_excess(&mut self, pool: PoolIndex, worker: WorkerIndex, slots: u32) {
        let account = &self.fleet.workers[worker.at()].account;
        let entry = &self.fleet.pools[pool.at()];
        if account.borrowed > 0
            && f64::from(entry.held + slots) > entry.entitlement + 1.0
            && entry
                .reserved
                .is_none_or(|(reserved, _)| reserved != worker)
        {
            let units = slots.min(account.borrowed).min(account.free());
            self.return_units(ResourceKey::Worker(worker), units);
        }
    }

    pub(super) fn return_units(&mut self, resource: ResourceKey, units: u32) {
        let (given, void) = self.ledger.return_borrowed(resource, units);
        let account = self.account_mut(resource);
        account.borrowed -= given;
        account.void -= void;
        account.update_idle_minimum();
    }

    /// Returns the borrowed units when no generation has settled for [`UNSETTLED_LIMIT`].
    ///
    /// A lender that skipped generations cannot tell whether they allow its loans, and the borrower
    /// may be unaware of this. Settling then waits until the units are back. They count as void
    /// from the next generation on, so that the current one stays quiesced.
    fn return_unsettled(&mut self, now: TimePoint) {
        let since = self.fleet.unsettled_since;
        if since.is_none_or(|since| now.since(since) < UNSETTLED_LIMIT) {
            return;
        }
        let applied = self.fleet.generation();
        for (resource, units) in self.ledger.void_borrowed(applied.next(), applied, |_| true) {
            self.account_mut(resource).void += units;
            self.return_void(resource);
            self.refresh(resource, now);
        }
    }

    /// Returns the borrowed units that were idle for two full periods.
    pub(super) fn return_idle(&mut self, now: TimePoint) {
        self.return_unsettled(now);
        for resource in self.ledger.borrowed() {
            if let ResourceKey::Worker(worker) = resource {
                let pool = self.fleet.workers[worker.at()].pool;
                let reserved = self.fleet.pools[pool.at()].reserved;
                if reserved.is_some_and(|(reserved, _)| reserved == worker) {
                    continue;
                }
            }
            let idle = self.account_mut(resource).end_idle_period();
            if idle > 0 {
                self.return_units(resource, idle);
                self.refresh(resource, now);
            }
        }
        if !self.ledger.borrowed().is_empty() {
            self.start_idle_timer(now);
        }
    }

    /// Returns the loan requests to a peer for the units missing now.
    pub(super) fn loan_requests(&self, peer: SessionId, now: TimePoint) -> Vec<LoanRequest> {
        let mut requests = Vec::new();
        if self.is_shutting_down || !self.may_dispatch() {
            return requests;
        }
        for team in &self.fleet.teams {
            let missing = self.missing_permits(team, now);
            if missing > 0 {
                requests.push(LoanRequest {
                    what: RequestedUnits::Permits(team.name.clone()),
                    units: missing.min(MAX_UNITS),
                });
            }
        }
        for position in 0..self.fleet.pools.len() {
            let pool = PoolIndex::with_position(position);
            requests.extend(self.slot_request(pool, peer));
            requests.extend(self.worker_request(pool));
        }
        requests.truncate(MAX_REQUESTS);
        requests
    }

    /// Returns the number of permits missing for the queued jobs of a team.
    pub(super) fn missing_permits(&self, team: &TeamEntry, now: TimePoint) -> u32 {
        let is_short = team
            .last_shortage
            .is_some_and(|at| now.since(at) < SHORTAGE_TIME);
        if !is_short || team.account.is_frozen() {
            return 0;
        }
        let flows = team.flows.iter().map(|flow| &self.flows[flow.at()]);
        let queued: u32 = flows.map(|flow| flow.queued).sum();
        queued.saturating_sub(team.account.available())
    }

    /// Returns the number of slots missing in a pool.
    pub(super) fn missing_slots(&self, pool: PoolIndex) -> u32 {
        let entry = &self.fleet.pools[pool.at()];
        if entry.backlog.is_empty() {
            return 0;
        }
        // The next dispatches use the free slots, including those of new loans.
        let free: u32 = entry
            .ready
            .iter()
            .map(|worker| self.fleet.placement[worker.at()].free_slots)
            .sum();
        let queued: u32 = entry
            .backlog
            .iter()
            .map(|(_, flow)| &self.flows[flow.at()])
            .filter(|flow| flow.block != FlowBlock::Permits)
            .map(|flow| flow.queued)
            .sum();
        let entitlement = (entry.entitlement + 0.25).floor() - f64::from(entry.held);
        #[expect(
            clippy::cast_possible_truncation,
            reason = "clamped to the bounds of u32"
        )]
        #[expect(clippy::cast_sign_loss, reason = "clamped to the bounds of u32")]
        let entitlement = entitlement.clamp(0.0, f64::from(MAX_UNITS)) as u32;
        queued.min(entitlement).saturating_sub(free)
    }

    fn slot_request(&self, pool: PoolIndex, peer: SessionId) -> Option<LoanRequest> {
        let missing = self.missing_slots(pool);
        if missing == 0 {
            return None;
        }
        let entry = &self.fleet.pools[pool.at()];
        let owners = || {
            entry.workers.iter().flat_map(|worker| {
                let record = &self.fleet.workers[worker.at()];
                record
                    .owners
                    .into_iter()
                    .flatten()
                    .filter(|_| record.is_usable())
            })
        };
        let total = owners().filter(|owner| *owner != self.session).count();
        let part = owners().filter(|owner| *owner == peer).count();
        if part == 0 {
            return None;
        }
        let (_, flow) = entry
            .backlog
            .iter()
            .filter(|(_, flow)| self.flows[flow.at()].block != FlowBlock::Permits)
            .min_by(|one, other| one.0.total_cmp(&other.0))?;
        let flow = &self.flows[flow.at()];
        let requirements = self.jobs[flow.first()?].requirements;
        let size = entry
            .workers
            .first()
            .and_then(|worker| self.fleet.workers[worker.at()].slots_for(requirements))
            .unwrap_or(1);
        let units = (u64::from(missing) * part as u64).div_ceil(total as u64);
        Some(LoanRequest {
            what: RequestedUnits::Slots {
                pool: entry.name.clone(),
                team: self.fleet.teams[flow.team.at()].name.clone(),
                size,
            },
            units: u32::try_from(units).unwrap_or(MAX_UNITS),
        })
    }

    /// Returns the request for the slots missing on a worker that is reserved for a large job.
    fn worker_request(&self, pool: PoolIndex) -> Option<LoanRequest> {
        let (worker, flow) = self.fleet.pools[pool.at()].reserved?;
        let record = &self.fleet.workers[worker.at()];
        let requirements = self.jobs[self.flows[flow.at()].first()?].requirements;
        let slots = record.slots_for(requirements)?;
        let account = &record.account;
        let own = (account.owned + account.borrowed).saturating_sub(account.lent);
        (slots > own).then(|| LoanRequest {
            what: RequestedUnits::Worker(record.name.clone()),
            units: slots - own,
        })
    }
}
