use super::fleet_update::UpdateScope;
use super::releasing::NOT_READY;
use super::{JobScheduler, PoolIndex, WorkerIndex};
use crate::fleet::{FleetState, InstanceRecord, InstanceState};
use crate::ids::InstanceName;
use crate::ledger::{ResourceKey, UnitAccount, UnitSeed, block_owner, block_units};
use crate::placement::{PlacementState, WorkerHealth, WorkerRecord};
use crate::time::TimePoint;

impl JobScheduler {
    /// Updates the workers from the instances. Merges both lists, which are sorted by name, so that
    /// an unchanged worker costs only a comparison.
    pub(super) fn update_workers(
        &mut self,
        state: &FleetState,
        scope: &mut UpdateScope,
        now: TimePoint,
    ) {
        let known = std::mem::take(&mut self.fleet.order);
        let mut known = known.into_iter().peekable();
        let mut order = Vec::with_capacity(state.instances.len());
        for (name, record) in &state.instances {
            let mut found = None;
            while let Some(worker) = known.peek().copied() {
                let current = &self.fleet.workers[worker.at()].name;
                if current > name {
                    break;
                }
                known.next();
                if current == name {
                    found = Some(worker);
                    break;
                }
                self.remove_worker(worker, scope, now);
            }
            let worker = found.unwrap_or_else(|| self.add_worker(name, record));
            order.push(worker);
            let is_evacuated = state.is_evacuated(&record.zone);
            self.update_evacuation(worker, is_evacuated, scope, now);
            self.update_worker(worker, record, found.is_none(), scope, now);
        }
        for worker in known {
            self.remove_worker(worker, scope, now);
        }
        self.fleet.order = order;
    }

    /// Frees the arena positions of removed workers whose accounts are unused.
    pub(super) fn vacate_workers(&mut self) {
        let removed = std::mem::take(&mut self.fleet.removed);
        for worker in removed {
            let record = &self.fleet.workers[worker.at()];
            if record.account.is_unused() {
                self.fleet.worker_names.remove(&record.name);
                self.fleet.vacant.push(worker);
            } else {
                self.fleet.removed.push(worker);
            }
        }
    }

    /// Recalculates the worker shapes and the slot count of a pool.
    pub(super) fn update_pool(&mut self, pool: PoolIndex) {
        let entry = &self.fleet.pools[pool.at()];
        let mut shapes = Vec::new();
        let mut open_shapes = Vec::new();
        let mut slots = 0;
        for worker in &entry.workers {
            let record = &self.fleet.workers[worker.at()];
            let shape = (record.cores, record.memory_mb, record.slots);
            if !shapes.contains(&shape) {
                shapes.push(shape);
            }
            if !record.zone_evacuated && !open_shapes.contains(&shape) {
                open_shapes.push(shape);
            }
            if record.is_usable() {
                slots += record.slots;
            }
        }
        let entry = &mut self.fleet.pools[pool.at()];
        entry.shapes = shapes;
        entry.open_shapes = open_shapes;
        entry.slots = slots;
    }

    fn add_worker(&mut self, name: &InstanceName, record: &InstanceRecord) -> WorkerIndex {
        let pool = self.fleet.pool(&record.pool);
        // A removed worker whose units are still in use or lent keeps its account when it returns.
        if let Some(worker) = self.fleet.worker_names.get(name).copied() {
            self.fleet.removed.retain(|removed| *removed != worker);
            let known = &mut self.fleet.workers[worker.at()];
            known.removed = false;
            known.pool = pool;
            self.fleet.pools[pool.at()].workers.push(worker);
            return worker;
        }
        let entry = WorkerRecord {
            name: name.clone(),
            address: record.address.clone(),
            pool,
            cores: 0,
            memory_mb: 0,
            slots: 0,
            boot: record.boot,
            active: false,
            quarantined: false,
            planned_outage: false,
            zone_evacuated: false,
            removed: false,
            leaving: None,
            reserved_until: None,
            seeds: [
                UnitSeed::new(name.as_str(), 0),
                UnitSeed::new(name.as_str(), 1),
            ],
            owners: [None; 2],
            account: UnitAccount::default(),
            health: WorkerHealth::default(),
            position: NOT_READY,
        };
        let worker = if let Some(worker) = self.fleet.vacant.pop() {
            self.fleet.workers[worker.at()] = entry;
            worker
        } else {
            self.fleet.workers.push(entry);
            self.fleet.placement.push(PlacementState::default());
            WorkerIndex::with_position(self.fleet.workers.len() - 1)
        };
        self.fleet.worker_names.insert(name.clone(), worker);
        self.fleet.pools[pool.at()].workers.push(worker);
        worker
    }

    fn update_worker(
        &mut self,
        worker: WorkerIndex,
        record: &InstanceRecord,
        new: bool,
        scope: &mut UpdateScope,
        now: TimePoint,
    ) {
        let known = &self.fleet.workers[worker.at()];
        let same_pool = self.fleet.pools[known.pool.at()].name == record.pool;
        let active = record.state.is_active();
        let stops = matches!(
            record.state,
            InstanceState::Draining | InstanceState::Rebooting | InstanceState::Moving { .. }
        );
        let changed = new
            || !same_pool
            || known.active != active
            || known.planned_outage != stops
            || known.quarantined != (record.state == InstanceState::Quarantined)
            || known.boot != record.boot
            || (known.cores, known.memory_mb, known.slots)
                != (record.cores, record.memory_mb, record.slots)
            || known.address != record.address;
        if !changed && !scope.reallocates_all {
            return;
        }
        if stops || !same_pool || scope.skipped.is_some() {
            scope.conflicting_workers.insert(worker);
        }
        if changed {
            if !same_pool {
                self.change_pool(worker, record, scope);
            }
            self.update_worker_record(worker, record, now);
            self.fleet.workers[worker.at()].planned_outage = stops;
            scope.pools.insert(self.fleet.workers[worker.at()].pool);
        }
        self.allocate_worker(worker, new, scope);
        if !scope.reallocates_all {
            self.refresh_worker(worker, now);
        }
    }

    fn update_worker_record(
        &mut self,
        worker: WorkerIndex,
        record: &InstanceRecord,
        now: TimePoint,
    ) {
        let known = &mut self.fleet.workers[worker.at()];
        let active = record.state.is_active();
        // A rebooted worker starts with an empty health record. A worker that was released from
        // quarantine without a reboot is on trial.
        if known.boot != record.boot {
            known.health = WorkerHealth::default();
        } else if known.quarantined && active {
            known.health.start_trial(now);
        }
        if known.boot != record.boot || active && !known.active {
            known.leaving = None;
        }
        let is_quarantined = record.state == InstanceState::Quarantined;
        let is_waiting = known.health.quarantined && !known.health.is_trial_due(now);
        if is_quarantined && !known.quarantined && !is_waiting {
            // Applies even if the worker did not fail here, so that the time of the next trial does
            // not depend on the entry instance that reported the failure.
            known.health.quarantine(now);
        }
        known.quarantined = is_quarantined;
        known.active = active;
        known.boot = record.boot;
        known.cores = record.cores;
        known.memory_mb = record.memory_mb;
        known.slots = record.slots;
        known.address = record.address.clone();
    }

    fn change_pool(
        &mut self,
        worker: WorkerIndex,
        record: &InstanceRecord,
        scope: &mut UpdateScope,
    ) {
        if self.fleet.workers[worker.at()].position != NOT_READY {
            self.unlist_worker(worker);
        }
        let old = self.fleet.workers[worker.at()].pool;
        let entry = &mut self.fleet.pools[old.at()];
        entry.workers.retain(|other| *other != worker);
        if entry
            .reserved
            .is_some_and(|(reserved, _)| reserved == worker)
        {
            entry.reserved = None;
        }
        scope.pools.insert(old);
        let pool = self.fleet.pool(&record.pool);
        self.fleet.workers[worker.at()].pool = pool;
        self.fleet.pools[pool.at()].workers.push(worker);
    }

    fn allocate_worker(&mut self, worker: WorkerIndex, new: bool, scope: &UpdateScope) {
        let sessions = &self.fleet.view.sessions;
        let record = &mut self.fleet.workers[worker.at()];
        for (owner, seed) in record.owners.iter_mut().zip(record.seeds) {
            *owner = match *owner {
                Some(current) if !new && !scope.left.contains(&current) => scope
                    .joined
                    .iter()
                    .copied()
                    .chain([current])
                    .max_by_key(|session| (seed.score(*session), *session)),
                _ => block_owner(seed, sessions),
            };
        }
        let share = record
            .owners
            .iter()
            .zip(block_units(record.slots))
            .filter(|(owner, _)| **owner == Some(self.session))
            .map(|(_, units)| units)
            .sum();
        let slots = record.slots;
        self.allocate(ResourceKey::Worker(worker), scope, slots, share);
    }

    fn remove_worker(&mut self, worker: WorkerIndex, scope: &mut UpdateScope, now: TimePoint) {
        scope.conflicting_workers.insert(worker);
        self.allocate(ResourceKey::Worker(worker), scope, 0, 0);
        let record = &mut self.fleet.workers[worker.at()];
        record.removed = true;
        record.active = false;
        record.slots = 0;
        let pool = record.pool;
        self.refresh_worker(worker, now);
        self.fleet.pools[pool.at()]
            .workers
            .retain(|other| *other != worker);
        scope.pools.insert(pool);
        self.fleet.removed.push(worker);
    }

    /// Records that the attempts on the workers of the scope conflict with the generation.
    pub(super) fn mark_conflicting(&mut self, scope: &UpdateScope) {
        if scope.conflicting_workers.is_empty() {
            return;
        }
        let generation = scope.skipped.unwrap_or(scope.generation);
        for (key, attempt) in &mut self.attempts {
            if attempt.holds_units
                && attempt.conflicts_with.is_none()
                && scope.conflicting_workers.contains(&attempt.worker)
            {
                attempt.conflicts_with = Some(generation);
                self.conflicting_attempts.insert((generation, key));
            }
        }
    }
}
