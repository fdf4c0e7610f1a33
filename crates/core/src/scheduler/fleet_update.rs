use std::collections::BTreeSet;

use super::{JobScheduler, KeyIndex, PoolIndex, TeamIndex, WorkerIndex};
use crate::code::ResultCode;
use crate::fleet::{FleetState, OPEN_TEAM, TeamRecord};
use crate::ids::{Generation, KeyId, SessionId, TeamName};
use crate::ledger::{LoanRecord, ResourceKey, permit_allocation};
use crate::time::TimePoint;

/// Limit of the team `open` when it is not configured; exceeds the slots of any fleet.
const OPEN_LIMIT: u32 = 1_000_000;

/// Changes made by one generation.
#[derive(Debug)]
pub(super) struct UpdateScope {
    pub(super) generation: Generation,
    pub(super) now: TimePoint,
    /// First skipped generation, if any.
    pub(super) skipped: Option<Generation>,
    /// Whether all allocations are recalculated.
    pub(super) reallocates_all: bool,
    pub(super) joined: Vec<SessionId>,
    pub(super) left: Vec<SessionId>,
    /// Workers whose running attempts conflict with the generation.
    pub(super) conflicting_workers: BTreeSet<WorkerIndex>,
    /// Pools whose workers changed.
    pub(super) pools: BTreeSet<PoolIndex>,
}

impl JobScheduler {
    pub(super) fn update_fleet(&mut self, state: &FleetState, now: TimePoint) {
        let mut scope = self.scope(state, now);
        let generation = scope.generation;
        self.fleet.applied = Some(generation);
        self.vacate_workers();
        let view_changed = state.view != self.fleet.view;
        self.ledger
            .void_lent(generation, |loan| loan.brief || view_changed);
        if scope.reallocates_all {
            self.fleet.view_changed = generation;
            self.fleet.view = state.view.clone();
        }
        let all = scope.reallocates_all;
        self.void_borrowed(&scope, |loan| loan.brief || all);
        self.update_teams(state, &scope);
        for (name, record) in &state.pools {
            let pool = self.fleet.pool(name);
            self.fleet.pools[pool.at()].max_unavailable = record.max_unavailable;
        }
        self.update_workers(state, &mut scope, now);
        self.mark_conflicting(&scope);
        for pool in std::mem::take(&mut scope.pools) {
            self.update_pool(pool);
            self.sort_waiting(pool, now);
        }
        self.update_keys(state, now);
        if scope.reallocates_all {
            self.refresh_all(now);
        } else {
            for team in 0..self.fleet.teams.len() {
                self.refresh_team(TeamIndex::with_position(team), now);
            }
        }
    }

    /// Records the highest settled generation.
    pub(super) fn record_settled(&mut self, settled: Generation, now: TimePoint) {
        if settled <= self.fleet.settled {
            return;
        }
        self.fleet.settled = settled;
        let mut changed: Vec<ResourceKey> = self.pending.iter().copied().collect();
        for resource in &changed {
            self.account_mut(*resource).settle(settled);
        }
        let pending = std::mem::take(&mut self.pending);
        self.pending = pending
            .into_iter()
            .filter(|resource| self.account(*resource).is_pending())
            .collect();
        let mut returned = Vec::new();
        for ledger in self.ledger.peers.values_mut() {
            returned.extend(ledger.reclaim(settled));
        }
        for (resource, units) in returned {
            self.account_mut(resource).lent -= units;
            changed.push(resource);
        }
        for resource in changed {
            self.refresh(resource, now);
        }
    }

    /// Recalculates the allocation of a resource.
    pub(super) fn allocate(
        &mut self,
        resource: ResourceKey,
        scope: &UpdateScope,
        units: u32,
        share: u32,
    ) {
        let settled = self.fleet.settled;
        let account = self.account_mut(resource);
        account.settle(settled);
        if let Some(first) = scope.skipped {
            account.skip(first, scope.generation);
        }
        let lowered = account.allocate(scope.generation, units, share);
        account.update_idle_minimum();
        if account.is_pending() {
            self.pending.insert(resource);
        }
        if lowered {
            let select = |loan: &LoanRecord| loan.resource == resource;
            self.ledger.void_lent(scope.generation, select);
            self.void_borrowed(scope, select);
        }
    }

    fn scope(&self, state: &FleetState, now: TimePoint) -> UpdateScope {
        let first = self
            .fleet
            .applied
            .map_or(Generation::ZERO, Generation::next);
        let skipped = (self.fleet.applied.is_none() || first != state.generation).then_some(first);
        let missing = |from: &[SessionId], other: &crate::fleet::SessionView| {
            let sessions = from.iter().copied();
            sessions
                .filter(|session| !other.contains(*session))
                .collect()
        };
        UpdateScope {
            generation: state.generation,
            now,
            skipped,
            reallocates_all: skipped.is_some() || state.view != self.fleet.view,
            joined: missing(&state.view.sessions, &self.fleet.view),
            left: missing(&self.fleet.view.sessions, &state.view),
            conflicting_workers: BTreeSet::new(),
            pools: BTreeSet::new(),
        }
    }

    fn void_borrowed(&mut self, scope: &UpdateScope, select: impl Fn(&LoanRecord) -> bool) {
        let first = scope.skipped.unwrap_or(scope.generation);
        for (resource, units) in self.ledger.void_borrowed(first, scope.generation, select) {
            self.account_mut(resource).void += units;
            self.return_void(resource);
            self.refresh(resource, scope.now);
        }
    }

    fn update_teams(&mut self, state: &FleetState, scope: &UpdateScope) {
        for name in state.teams.keys() {
            self.fleet.team(name);
        }
        let open = self.fleet.team(&TeamName::new(OPEN_TEAM));
        for position in 0..self.fleet.teams.len() {
            let index = TeamIndex::with_position(position);
            let team = &mut self.fleet.teams[position];
            let unlisted = TeamRecord {
                share: 1,
                limit: if index == open { OPEN_LIMIT } else { 0 },
            };
            let record = state.teams.get(&team.name).unwrap_or(&unlisted);
            let weight = f64::from(record.share).max(0.01);
            let change = weight - team.weight;
            team.weight = weight;
            if change != 0.0 {
                let flows = team.flows.iter().map(|flow| &self.flows[flow.at()]);
                for flow in flows.filter(|flow| flow.is_backlogged()) {
                    self.fleet.pools[flow.pool.at()].backlogged_weight += change;
                }
            }
            if team.limit == record.limit && !scope.reallocates_all {
                continue;
            }
            team.limit = record.limit;
            let (session, sessions) = (self.session, &state.view.sessions);
            let share = permit_allocation(record.limit, team.seed, session, sessions);
            self.allocate(ResourceKey::Team(index), scope, record.limit, share);
        }
    }

    fn update_keys(&mut self, state: &FleetState, now: TimePoint) {
        let mut valid = 0;
        let mut withdrawn = false;
        for (id, record) in &state.keys {
            if record.withdrawn {
                withdrawn |= self.drop_key(id);
                continue;
            }
            valid += 1;
            let team = self.fleet.team(&record.team);
            if let Some(key) = self.fleet.keys.get(id) {
                let known = self.fleet.key_teams[key.at()].replace(team);
                withdrawn |= known != Some(team);
            } else {
                let key = KeyIndex::with_position(self.fleet.key_teams.len());
                self.fleet.key_teams.push(Some(team));
                self.fleet.keys.insert(id.clone(), key);
            }
        }
        if self.fleet.keys.len() != valid {
            let known: Vec<KeyId> = self.fleet.keys.keys().cloned().collect();
            for id in known.iter().filter(|id| !state.keys.contains_key(*id)) {
                withdrawn |= self.drop_key(id);
            }
        }
        if withdrawn {
            let invalid: Vec<_> = self
                .jobs
                .iter()
                .filter(|(_, job)| job.queued)
                .filter(|(_, job)| {
                    let team = self.flows[job.flow.at()].team;
                    let key = job.key;
                    key.is_some_and(|key| !self.fleet.is_key_valid(key, team))
                })
                .map(|(key, _)| key)
                .collect();
            for key in invalid {
                self.refuse(key, super::JobRefusal::new(ResultCode::WithdrawnKey), now);
            }
        }
    }

    fn drop_key(&mut self, id: &KeyId) -> bool {
        let key = self.fleet.keys.remove(id);
        if let Some(key) = key {
            self.fleet.key_teams[key.at()] = None;
        }
        key.is_some()
    }

    fn refresh_all(&mut self, now: TimePoint) {
        for position in 0..self.fleet.order.len() {
            let worker = self.fleet.order[position];
            self.refresh_worker(worker, now);
        }
        for position in 0..self.fleet.teams.len() {
            self.refresh_team(TeamIndex::with_position(position), now);
        }
    }
}
