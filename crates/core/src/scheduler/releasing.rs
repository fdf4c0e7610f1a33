use super::{AttemptKey, JobScheduler, WorkerIndex};
use crate::ledger::{ResourceKey, UnitAccount};
use crate::queue::FlowBlock;
use crate::time::TimePoint;

/// Position of a worker that is not in its pool's list of workers with free slots.
pub(super) const NOT_READY: u32 = u32::MAX;

impl JobScheduler {
    /// Records that the backend server confirmed the end of an attempt. If the job was cancelled,
    /// no outcome follows, and the attempt and the job are removed.
    pub fn confirm_end(&mut self, attempt: AttemptKey, now: TimePoint) {
        self.release(attempt, now);
        let Some(job) = self.attempts.get(attempt).map(|record| record.job) else {
            return;
        };
        if self.jobs.get(job).is_none_or(|record| record.abandoned) {
            self.attempts.remove(attempt);
            self.jobs.remove(job);
        }
    }

    /// Returns the unit account of a resource.
    pub(super) fn account(&self, resource: ResourceKey) -> &UnitAccount {
        match resource {
            ResourceKey::Team(team) => &self.fleet.teams[team.at()].account,
            ResourceKey::Worker(worker) => &self.fleet.workers[worker.at()].account,
        }
    }

    /// Returns the unit account of a resource for changes.
    pub(super) fn account_mut(&mut self, resource: ResourceKey) -> &mut UnitAccount {
        match resource {
            ResourceKey::Team(team) => &mut self.fleet.teams[team.at()].account,
            ResourceKey::Worker(worker) => &mut self.fleet.workers[worker.at()].account,
        }
    }

    /// Releases the units of an attempt; does nothing if they were released before.
    pub(super) fn release(&mut self, key: AttemptKey, now: TimePoint) {
        let Some(attempt) = self
            .attempts
            .get_mut(key)
            .filter(|attempt| attempt.holds_units)
        else {
            return;
        };
        attempt.holds_units = false;
        self.holding_attempts -= 1;
        let (worker, team, slots) = (attempt.worker, attempt.team, attempt.slots);
        let (pool, flow) = (attempt.pool, attempt.flow);
        if let Some(generation) = attempt.conflicts_with {
            self.conflicting_attempts.remove(&(generation, key));
        }
        if attempt.finished {
            self.attempts.remove(key);
        }
        self.flows[flow.at()].accrue(now);
        self.flows[flow.at()].held -= slots;
        self.fleet.pools[pool.at()].held -= slots;
        let record = &mut self.fleet.workers[worker.at()];
        record.account.in_use -= slots;
        self.fleet.teams[team.at()].account.in_use -= 1;
        self.reorder(flow, now);
        self.return_void(ResourceKey::Worker(worker));
        self.return_excess(pool, worker, slots);
        self.return_void(ResourceKey::Team(team));
        self.refresh_worker(worker, now);
        self.refresh_team(team, now);
    }

    /// Updates the lists that depend on the free units of a resource.
    pub(super) fn refresh(&mut self, resource: ResourceKey, now: TimePoint) {
        match resource {
            ResourceKey::Team(team) => self.refresh_team(team, now),
            ResourceKey::Worker(worker) => self.refresh_worker(worker, now),
        }
    }

    /// Unblocks the flows of a team if the team has free permits.
    pub(super) fn refresh_team(&mut self, team: super::TeamIndex, now: TimePoint) {
        let entry = &self.fleet.teams[team.at()];
        if entry.blocked == 0 || entry.account.available() == 0 {
            return;
        }
        for place in 0..self.fleet.teams[team.at()].flows.len() {
            let flow = self.fleet.teams[team.at()].flows[place];
            if self.flows[flow.at()].block == FlowBlock::Permits {
                self.unblock(flow, now);
            }
        }
    }

    /// Adds a worker to its pool's list of workers with free slots, or removes it from the list.
    pub(super) fn refresh_worker(&mut self, worker: WorkerIndex, now: TimePoint) {
        let record = &self.fleet.workers[worker.at()];
        let pool = record.pool;
        let entry = &mut self.fleet.pools[pool.at()];
        let reserved = entry.reserved.filter(|(reserved, _)| *reserved == worker);
        let placement = record.placement(now);
        self.fleet.placement[worker.at()] = placement;
        let usable = placement.free_slots > 0;
        let listed = usable && reserved.is_none();
        if let Some((_, flow)) = reserved {
            if usable {
                self.unblock_waiting(pool, Some(flow), now);
            } else if record.account.free() == 0 && record.is_usable() && record.leaving.is_none() {
                // Keeps the reservation, because the slots in use become free later.
            } else {
                entry.reserved = None;
                self.unblock_waiting(pool, None, now);
            }
        }
        let position = self.fleet.workers[worker.at()].position;
        let entry = &mut self.fleet.pools[pool.at()];
        if listed && position == NOT_READY {
            self.fleet.workers[worker.at()].position =
                u32::try_from(entry.ready.len()).unwrap_or(NOT_READY);
            entry.ready.push(worker);
        } else if !listed && position != NOT_READY {
            self.unlist_worker(worker);
        }
        if listed {
            self.unblock_waiting(pool, None, now);
            self.mark_pool(pool);
        }
    }

    /// Removes a worker from its pool's list of workers with free slots.
    pub(super) fn unlist_worker(&mut self, worker: WorkerIndex) {
        let record = &mut self.fleet.workers[worker.at()];
        let position = std::mem::replace(&mut record.position, NOT_READY) as usize;
        let ready = &mut self.fleet.pools[record.pool.at()].ready;
        ready.swap_remove(position);
        if let Some(moved) = ready.get(position) {
            self.fleet.workers[moved.at()].position = u32::try_from(position).unwrap_or(NOT_READY);
        }
    }

    fn unblock_waiting(
        &mut self,
        pool: super::PoolIndex,
        only: Option<super::FlowIndex>,
        now: TimePoint,
    ) {
        if self.fleet.pools[pool.at()].waiting.is_empty() {
            return;
        }
        let waiting = self.fleet.pools[pool.at()].waiting.clone();
        for flow in waiting {
            if only.is_none_or(|only| only == flow) {
                self.unblock(flow, now);
            }
        }
    }
}
