//! Moves and failures of the simulated instances.

use std::collections::BTreeMap;

use sesamedeal_core::ids::{InstanceName, PoolName};
use sesamedeal_core::jobs::{FleetSize, PoolLoad, PoolState, SizeChange};
use sesamedeal_core::time::TimePoint;

use super::fleet_plan::pool_name;
use super::pool_world::{PoolWorld, is_day};
use super::sim_instance::{InstancePlace, SimInstance};
use super::world_trouble::LEAD_MS;

/// Time that an instance takes to move, in milliseconds.
const MOVE_MS: u64 = 1_500;

impl PoolWorld<'_> {
    /// Lets the instances that have arrived join their pools.
    pub(super) fn place_arrivals(&mut self, now: u64) {
        for index in 0..self.instances.len() {
            match self.instances[index].place {
                InstancePlace::Away(pool, until) if until <= now => self.join(index, pool, now),
                _ => {}
            }
        }
    }

    pub(super) fn join(&mut self, index: usize, pool: Option<usize>, now: u64) {
        let instance = &mut self.instances[index];
        let Some(pool) = pool else {
            instance.place = InstancePlace::Pool(None);
            return;
        };
        let report = instance.start_worker(pool, self.plan.capacity);
        let at = TimePoint::with_millis(now);
        let (key, _) = self.dispatcher.set_worker(report, at);
        instance.key = Some(key);
        self.indexes.insert(key, index);
        self.answer_hold(index, now);
    }

    pub(super) fn fail_instances(&mut self, now: u64) {
        let Some(failure) = &self.trouble.failed_instances else {
            return;
        };
        if now != LEAD_MS + failure.start {
            return;
        }
        let until = LEAD_MS + failure.end;
        for index in (0..self.instances.len()).step_by(10) {
            if let InstancePlace::Pool(Some(pool)) = self.instances[index].place {
                self.remove_worker(index, InstancePlace::Away(Some(pool), until));
            }
        }
    }

    fn remove_worker(&mut self, index: usize, place: InstancePlace) {
        let instance = &mut self.instances[index];
        self.dispatcher.unlist_worker(&instance.worker_name());
        if let Some(key) = instance.key {
            self.dispatcher.note_unresponsive(key);
            self.indexes.remove(&key);
        }
        instance.stop_worker(place);
    }

    /// Decides the sizes of the pools and moves instances.
    pub(super) fn scale(&mut self, loads: &BTreeMap<PoolName, PoolLoad>, now: u64) {
        let mut states: BTreeMap<PoolName, PoolState> = BTreeMap::new();
        for number in 0..self.plan.pools.len() {
            let pool = pool_name(number);
            let load = loads.get(&pool).copied().unwrap_or_default();
            let members = self.instances.iter();
            let members = members.filter(|instance| instance.paid_pool() == Some(number));
            let state = PoolState {
                load,
                instances: members.count(),
                idle: self.idle_instances(Some(number)).len(),
            };
            states.insert(pool, state);
        }
        let fleet = FleetSize {
            spare: self.idle_instances(None).len(),
            total: self.plan.instances(),
            capacity: self.dispatcher.worker_capacity(),
        };
        for change in self.rule.decide(&states, fleet, now) {
            self.move_instances(&change, now);
        }
    }

    /// Instances of a pool that can move.
    fn idle_instances(&self, pool: Option<usize>) -> Vec<usize> {
        let indexes = 0..self.instances.len();
        let idle = indexes.filter(|&index| {
            let instance = &self.instances[index];
            instance.place == InstancePlace::Pool(pool) && self.is_idle(instance)
        });
        idle.collect()
    }

    fn is_idle(&self, instance: &SimInstance) -> bool {
        let worker: Option<InstanceName> = instance.key.map(|_| instance.worker_name());
        let name = instance.instance_name();
        self.dispatcher.is_instance_idle(&name, worker.as_ref()) == Some(true)
    }

    fn move_instances(&mut self, change: &SizeChange, now: u64) {
        let number = |pool: &PoolName| {
            let mut numbers = 0..self.plan.pools.len();
            numbers.find(|&number| pool_name(number) == *pool)
        };
        let from = change.from.as_ref().and_then(number);
        let to = change.to.as_ref().and_then(number);
        let idle = self.idle_instances(from);
        for index in idle.into_iter().take(change.count) {
            self.remove_worker(index, InstancePlace::Away(to, now + MOVE_MS));
            if is_day(now) {
                self.totals.moves += 1.0;
            }
        }
    }
}
