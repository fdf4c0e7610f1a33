use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use sesamedeal_core::ids::{InstanceName, PoolName};
use sesamedeal_core::jobs::{FleetSize, PoolState, ScalingPlanner, ScalingPolicy, SizeChange};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
use slog::info;

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use crate::BootClock;
use crate::ports::{InstanceOrder, InventoryState, OrderOutcome};

/// Time after which a moving instance no longer counts for its new pool unless it has arrived.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time beyond the duration of a move after which the inventory shows the instance.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(40);

/// Pause before an unanswered order is sent again. The instance stays empty until the order is
/// answered, because the order may be carried out at any time.
const ORDER_RETRY: Duration = Duration::from_millis(500);

/// Interval between scaling decisions. A surge doubles the demand within about a second.
const SCALING_PERIOD: Duration = Duration::from_millis(200);

/// Interval between log lines about the sizes of the pools.
const POOL_LOG_PERIOD: Duration = Duration::from_secs(1);

/// A move of an instance to another pool.
#[derive(Debug)]
struct InstanceMove {
    to: PoolName,
    /// When the order was accepted; none before.
    accepted: Option<TimePoint>,
    is_ordering: bool,
    retry_after: TimePoint,
}

/// Decides the sizes of the pools and moves instances between them.
#[derive(Debug)]
pub(crate) struct PoolScaler {
    planner: ScalingPlanner,
    moves: HashMap<InstanceName, InstanceMove>,
    move_time: Duration,
    next_round: TimePoint,
    last_log: TimePoint,
    /// Whether tasks waited for capacity, or a pool lacked instances, at the last decision.
    pub(super) has_shortage: bool,
}

impl PoolScaler {
    /// Creates a scaler. `surges_ms` holds how long ago the last surge of each pool began, in
    /// milliseconds.
    pub(crate) fn new(policy: ScalingPolicy, surges_ms: &[(PoolName, u64)]) -> Self {
        let surges: Vec<(PoolName, Duration)> = surges_ms
            .iter()
            .map(|(pool, age)| (pool.clone(), Duration::from_millis(*age)))
            .collect();
        Self {
            move_time: policy.move_time,
            planner: ScalingPlanner::new(policy).with_surges(&surges, BootClock.now()),
            moves: HashMap::new(),
            next_round: TimePoint::ORIGIN,
            last_log: TimePoint::ORIGIN,
            has_shortage: false,
        }
    }
}

impl OwnerActor {
    /// How long ago the last surge of each pool began, in milliseconds.
    pub(super) fn surges_ms(&self) -> Vec<(PoolName, u64)> {
        let surges = self.pool_scaler.planner.surges(BootClock.now()).into_iter();
        let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        surges.map(|(pool, age)| (pool, millis(age))).collect()
    }

    /// Whether an instance is moving to another pool.
    pub(super) fn is_moving(&self, instance: &InstanceName) -> bool {
        self.pool_scaler.moves.contains_key(instance)
    }

    pub(super) fn has_moves(&self) -> bool {
        !self.pool_scaler.moves.is_empty()
    }

    /// Whether an instance should have arrived since the last read of the inventory.
    pub(super) fn has_due_arrivals(&self, now: TimePoint) -> bool {
        let moves = self.pool_scaler.moves.values();
        let mut arrivals = moves
            .filter_map(|entry| entry.accepted)
            .map(|accepted| accepted.after(self.pool_scaler.move_time + ARRIVAL_MARGIN));
        arrivals.any(|arrival| self.inventory.last_read < arrival && arrival <= now)
    }

    /// Decides the sizes of the pools and orders moves.
    pub(super) fn scale_pools(&mut self, now: TimePoint) {
        if !self.inventory.is_usable() {
            return;
        }
        self.send_due_moves(now);
        if now < self.pool_scaler.next_round {
            return;
        }
        self.pool_scaler.next_round = now.after(SCALING_PERIOD);
        let Some(spare_pool) = self.spare_pool() else {
            return;
        };
        let states = self.pool_states(&spare_pool, now);
        let spare = self.idle_instances(&spare_pool);
        let reports = self.inventory.reports.keys();
        let evacuated = reports
            .filter(|name| self.is_in_evacuated_zone(name))
            .count();
        let fleet = FleetSize {
            spare: spare.len(),
            total: self.inventory.reports.len() - evacuated,
            capacity: self.dispatcher.worker_capacity(),
        };
        let changes = self.pool_scaler.planner.decide(&states, fleet, now);
        let planner = &self.pool_scaler.planner;
        self.pool_scaler.has_shortage = states.iter().any(|(pool, state)| {
            state.load.waiting > 0 || planner.expected(pool) > state.instances
        });
        self.log_pools(&states, &fleet, now);
        for change in changes {
            self.start_moves(&change, &spare_pool, now);
        }
    }

    fn log_pools(
        &mut self,
        states: &BTreeMap<PoolName, PoolState>,
        fleet: &FleetSize,
        now: TimePoint,
    ) {
        if now.since(self.pool_scaler.last_log) < POOL_LOG_PERIOD {
            return;
        }
        self.pool_scaler.last_log = now;
        for (pool, state) in states {
            let expected = self.pool_scaler.planner.expected(pool);
            info!(self.parts.logger, "pool size"; "pool" => %pool, "instances" => state.instances, "idle" => state.idle, "expected" => expected, "spare" => fleet.spare, "total" => fleet.total);
        }
    }

    /// The pool of instances that are switched off.
    pub(super) fn spare_pool(&self) -> Option<PoolName> {
        let deployment = self.parts.view.load()?;
        let mut pools = deployment.rules.pools.iter();
        let spare = pools.find(|(_, rule)| rule.is_spare);
        spare.map(|(pool, _)| pool.clone())
    }

    fn pool_states(&self, spare: &PoolName, now: TimePoint) -> BTreeMap<PoolName, PoolState> {
        let mut loads = self.dispatcher.pool_loads(now);
        if let Some(deployment) = self.parts.view.load() {
            // Pools without listed workers count too.
            for pool in deployment.rules.pools.keys() {
                loads.entry(pool.clone()).or_default();
            }
        }
        loads.remove(spare);
        let mut states = BTreeMap::new();
        for (pool, load) in loads {
            let present = self.inventory.reports.values();
            let present = present.filter(|report| {
                report.pool == pool
                    && !self.pool_scaler.moves.contains_key(&report.name)
                    && !self.is_in_evacuated_zone(&report.name)
            });
            let moves = self.pool_scaler.moves.iter();
            let arriving =
                moves.filter(|(name, entry)| entry.to == pool && !self.is_in_evacuated_zone(name));
            let state = PoolState {
                load,
                instances: present.count() + arriving.count(),
                idle: self.idle_instances(&pool).len(),
            };
            states.insert(pool, state);
        }
        states
    }

    /// Up instances of a pool that run nothing, are neither moving nor chosen for maintenance, and are
    /// not in an evacuated availability zone.
    pub(super) fn idle_instances(&self, pool: &PoolName) -> Vec<InstanceName> {
        let reports = self.inventory.reports.values();
        let idle = reports.filter(|report| {
            let is_free = report.pool == *pool
                && report.state == InventoryState::Up
                && !self.pool_scaler.moves.contains_key(&report.name)
                && !self.is_evacuating(&report.name)
                && !self.is_in_evacuated_zone(&report.name);
            is_free && self.is_instance_empty(&report.name) == Some(true)
        });
        let mut names: Vec<InstanceName> = idle.map(|report| report.name.clone()).collect();
        names.sort();
        names
    }

    fn start_moves(&mut self, change: &SizeChange, spare: &PoolName, now: TimePoint) {
        let from = change.from.as_ref().unwrap_or(spare);
        let to = change.to.as_ref().unwrap_or(spare);
        let idle = self.idle_instances(from);
        for instance in idle.into_iter().take(change.count) {
            info!(self.parts.logger, "moving instance"; "instance" => %instance, "from" => %from, "to" => %to);
            if let Some(worker) = self.worker_of(&instance) {
                self.dispatcher.set_evacuating(&worker, true);
            }
            let entry = InstanceMove {
                to: to.clone(),
                accepted: None,
                is_ordering: false,
                retry_after: now,
            };
            self.pool_scaler.moves.insert(instance, entry);
        }
        self.send_due_moves(now);
    }

    /// Sends the move orders that are due.
    fn send_due_moves(&mut self, now: TimePoint) {
        let due = self.pool_scaler.moves.iter().filter(|(_, entry)| {
            entry.accepted.is_none() && !entry.is_ordering && entry.retry_after <= now
        });
        let due: Vec<(InstanceName, PoolName)> = due
            .map(|(instance, entry)| (instance.clone(), entry.to.clone()))
            .collect();
        for (instance, to) in due {
            if let Some(entry) = self.pool_scaler.moves.get_mut(&instance) {
                entry.is_ordering = true;
            }
            let order = InstanceOrder {
                instance: instance.clone(),
                holder: self.parts.node.clone(),
                fence: self.parts.lease.epoch,
                pool: Some(to),
                wave: None,
            };
            let call = (self.inventory.fleet.order)(order);
            self.spawn_call(call, move |outcome| OwnerEvent::MoveOrdered {
                instance,
                outcome,
            });
        }
    }

    pub(super) fn handle_move(&mut self, instance: &InstanceName, outcome: Result<OrderOutcome>) {
        let now = BootClock.now();
        info!(self.parts.logger, "move ordered"; "instance" => %instance, "epoch" => self.parts.lease.epoch, "outcome" => ?outcome);
        let Some(entry) = self.pool_scaler.moves.get_mut(instance) else {
            return;
        };
        entry.is_ordering = false;
        match outcome {
            Ok(OrderOutcome::Accepted) => entry.accepted = Some(now),
            Ok(OrderOutcome::Fenced) => self.step_down("an instance has seen a later epoch"),
            Ok(OrderOutcome::Busy | OrderOutcome::Refused) => {
                self.pool_scaler.moves.remove(instance);
                if let Some(worker) = self.worker_of(instance) {
                    self.dispatcher.set_evacuating(&worker, false);
                }
            }
            Err(_) => entry.retry_after = now.after(ORDER_RETRY),
        }
    }

    /// Drops moves whose instance has arrived or exceeded [`ARRIVAL_TIMEOUT`].
    pub(super) fn finish_moves(&mut self, sent: TimePoint) {
        let reports = &self.inventory.reports;
        self.pool_scaler.moves.retain(|instance, entry| {
            let Some(accepted) = entry.accepted else {
                return true;
            };
            let has_arrived = reports.get(instance).is_some_and(|report| {
                report.pool == entry.to && report.state == InventoryState::Up
            });
            accepted >= sent || (!has_arrived && sent.since(accepted) < ARRIVAL_TIMEOUT)
        });
    }
}
