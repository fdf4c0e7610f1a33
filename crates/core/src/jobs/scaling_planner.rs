//! Decides how many instances each pool has.
//!
//! Load pattern: demand surges rotate among the pools. One pool at a time gets more work than it
//! can hold for several seconds while the others are nearly idle, and the pool whose last surge is
//! the oldest is the most likely to be next. The first decision that detects a surge gives the pool
//! all the instances that it needs, including those that other pools keep in reserve or do not use
//! at present. When the arrivals fade, the pool shrinks to what it uses. Shortly before the next
//! surge is due, free instances are shared among the pools that are likely to be next, because
//! moving an instance takes longer than a caller is willing to wait.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pool_history::PoolHistory;
use super::size_change::{PoolDeficit, PoolSurplus, distribute};
use super::surge_clock::SurgeClock;
use super::{PoolLoad, ScalingPolicy, SizeChange};
use crate::ids::PoolName;
use crate::time::TimePoint;

/// State of a pool, as input to a scaling decision.
#[derive(Debug, Clone, Copy)]
pub struct PoolState {
    /// Current load of the pool.
    pub load: PoolLoad,
    /// Instances in the pool or moving to it.
    pub instances: usize,
    /// Instances of the pool that run no tasks and can be moved away.
    pub idle: usize,
}

/// Instances of the whole fleet, as input to a scaling decision.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Instances in the spare pool that can be moved to other pools.
    pub spare: usize,
    /// All instances, including those that are moving.
    pub total: usize,
    /// CPU of an instance, in thousandths of a core.
    pub capacity: u64,
}

/// Plans moves of instances between pools from the history of their demand.
#[derive(Debug, Default)]
pub struct ScalingPlanner {
    policy: ScalingPolicy,
    history: BTreeMap<PoolName, PoolHistory>,
    surges: SurgeClock,
    /// Largest number of instances that a surge has used.
    largest_surge: usize,
    /// When this planner made its first decision.
    first_decision: Option<TimePoint>,
}

impl ScalingPlanner {
    /// Creates a planner without any demand history.
    #[must_use]
    pub fn new(policy: ScalingPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Restores the surge history of the previous owner: how long ago the last surge of each pool
    /// started.
    #[must_use]
    pub fn with_surges(mut self, surges: &[(PoolName, Duration)], now: TimePoint) -> Self {
        for (pool, age) in surges {
            let at = now.since_origin().saturating_sub(*age);
            self.surges.record_start(pool, TimePoint::new(at));
        }
        self
    }

    /// Returns how long ago the last surge of each pool started. Pools without a surge are left
    /// out.
    #[must_use]
    pub fn surges(&self, now: TimePoint) -> Vec<(PoolName, Duration)> {
        let starts = self.surges.starts().iter();
        starts
            .map(|(pool, at)| (pool.clone(), now.since(*at)))
            .collect()
    }

    /// Whether a surge is in progress in any pool.
    #[must_use]
    pub fn is_surging(&self) -> bool {
        self.history.values().any(|history| history.surge.is_some())
    }

    /// Returns the number of instances that a pool needs and whether it has a surge.
    #[must_use]
    pub fn wanted(&self, pool: &PoolName) -> (usize, bool) {
        let history = self.history.get(pool);
        history.map_or((0, false), |history| {
            (history.peak(), history.surge.is_some())
        })
    }

    /// Decides how many instances move between which pools.
    pub fn decide(
        &mut self,
        pools: &BTreeMap<PoolName, PoolState>,
        fleet: FleetSize,
        now: TimePoint,
    ) -> Vec<SizeChange> {
        let equal_share = fleet.total / (pools.len() + 1);
        self.record_loads(pools, equal_share, fleet.capacity, now);
        let next = self.next_pools();
        let reserve = self.reserved_size(pools, &next, (fleet, equal_share), now);
        let mut deficits: Vec<PoolDeficit> = Vec::new();
        let mut refills: Vec<(PoolName, usize)> = Vec::new();
        let mut surpluses: Vec<PoolSurplus> = Vec::new();
        for (pool, state) in pools {
            if state.instances < self.history[pool].peak() {
                deficits.push(self.deficit(pool, state));
                continue;
            }
            let needed = self.needed(pool);
            let target = if next.contains(pool) {
                needed.max(reserve)
            } else {
                needed
            };
            if state.instances < target {
                refills.push((pool.clone(), target - state.instances));
            }
            surpluses.push(self.surplus(pool, state, target));
        }
        let first_decision = *self.first_decision.get_or_insert(now);
        let mut changes = distribute(deficits, refills, surpluses, fleet.spare);
        // Switching an instance off and on again takes as long as two moves. A new owner has no
        // record of earlier peaks, so it waits for a full peak window first.
        if now.since(first_decision) < self.policy.peak_window || !self.may_switch_off(now) {
            changes.retain(|change| change.to.is_some());
        }
        changes
    }

    /// Returns the number of instances that a pool needed at most within the peak window.
    fn needed(&self, pool: &PoolName) -> usize {
        self.history[pool].peak().max(self.policy.min_instances)
    }

    /// Returns how many instances a pool lacks.
    fn deficit(&self, pool: &PoolName, state: &PoolState) -> PoolDeficit {
        let history = &self.history[pool];
        // During a surge, expected work is as certain as waiting work.
        let urgent = if history.surge.is_some() {
            history.present().max(history.expected())
        } else {
            history.present()
        };
        PoolDeficit {
            pool: pool.clone(),
            urgent: urgent.saturating_sub(state.instances),
            expected: history.peak().saturating_sub(state.instances.max(urgent)),
        }
    }

    /// Returns how many instances a pool with the target size `target` can give away.
    fn surplus(&self, pool: &PoolName, state: &PoolState, target: usize) -> PoolSurplus {
        let history = &self.history[pool];
        let free = |remaining: usize| state.instances.saturating_sub(remaining).min(state.idle);
        let unneeded = free(target);
        let reserved = free(self.needed(pool)) - unneeded;
        let in_use = history.least().max(self.policy.min_instances);
        let unused = if history.surge.is_some() {
            0
        } else {
            free(in_use).saturating_sub(unneeded + reserved)
        };
        PoolSurplus {
            pool: pool.clone(),
            unneeded,
            reserved,
            unused,
        }
    }

    /// Whether the next surge is far enough away to switch instances off until then.
    fn may_switch_off(&self, now: TimePoint) -> bool {
        let limit = self.policy.min_off_time;
        match self.surges.next_due() {
            Some(due) if now < due => due.since(now) > limit,
            Some(due) if now.since(due) < self.policy.overdue_wait => false,
            _ => {
                let mut history = self.history.values();
                !history.any(|history| history.has_surge_ended_within(limit, now))
            }
        }
    }

    /// Adds the current load of each pool to its history.
    fn record_loads(
        &mut self,
        pools: &BTreeMap<PoolName, PoolState>,
        equal_share: usize,
        capacity: u64,
        now: TimePoint,
    ) {
        let largest_surge = self.largest_surge;
        for (pool, state) in pools {
            let history = self.history.entry(pool.clone()).or_default();
            if history.record(
                state,
                (equal_share, largest_surge),
                capacity,
                &self.policy,
                now,
            ) {
                self.surges.record_start(pool, now);
            }
            if history.surge.is_some() {
                self.largest_surge = self.largest_surge.max(history.used());
            }
        }
    }

    /// Returns the number of instances that a pool holds in reserve if it may surge next.
    ///
    /// While another pool has a surge and the next one is known to be far off, the reserve is zero.
    /// Shortly before a surge is due and until it is overdue, it is an equal share of the instances
    /// that the other pools do not need. Otherwise it is an equal share of all instances.
    fn reserved_size(
        &self,
        pools: &BTreeMap<PoolName, PoolState>,
        next: &[PoolName],
        (fleet, equal_share): (FleetSize, usize),
        now: TimePoint,
    ) -> usize {
        let is_surging = self.is_surging();
        let lead = self.policy.move_time + self.policy.due_margin;
        let due = self.surges.next_due();
        let is_due = due.is_some_and(|due| {
            let start = due.since_origin().saturating_sub(lead);
            let end = due.after(self.policy.overdue_wait);
            now >= TimePoint::new(start) && now <= end
        });
        if !is_due {
            return match due {
                Some(due) if is_surging && now < due && self.may_switch_off(now) => 0,
                _ => equal_share,
            };
        }
        let others = pools.keys().filter(|pool| !next.contains(pool));
        let needed: usize = others
            .filter(|pool| self.history.contains_key(*pool))
            .map(|pool| self.needed(pool))
            .sum();
        let share = fleet.total.saturating_sub(needed) / next.len().max(1);
        share.min(self.largest_surge.max(equal_share))
    }

    /// Returns the pools that are likely to surge next: those without a surge so far, or else those
    /// whose last surge is the oldest.
    fn next_pools(&self) -> Vec<PoolName> {
        let mut order: Vec<(&PoolName, Option<TimePoint>)> = self
            .history
            .iter()
            .filter(|(_, history)| history.surge.is_none())
            .map(|(pool, _)| (pool, self.surges.starts().get(pool).copied()))
            .collect();
        order.sort_by_key(|(_, started)| *started);
        let never = order
            .iter()
            .filter(|(_, started)| started.is_none())
            .count();
        let count = never.max(self.policy.warm_pools);
        let first = order.into_iter().take(count);
        first.map(|(pool, _)| pool.clone()).collect()
    }
}
