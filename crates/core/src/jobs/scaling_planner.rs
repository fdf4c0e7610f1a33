//! Decides how many instances each pool has.
//!
//! Load pattern: the demand of a pool rises to several times its mean within a second and falls
//! again after some seconds, which is only a few times as long as an instance takes to move. A pool
//! gets the instances for the work that is expected when they arrive. Instances that it no longer
//! needs go to the pools that lack some; they are switched off only after they have been without
//! work for as long as it costs to switch them off and on again.

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
    /// Largest number of instances that a surge has needed.
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

    /// Returns the number of instances that the expected work of a pool needs.
    #[must_use]
    pub fn expected(&self, pool: &PoolName) -> usize {
        let history = self.history.get(pool);
        history.map_or(0, PoolHistory::expected)
    }

    /// Decides how many instances move between which pools.
    pub fn decide(
        &mut self,
        pools: &BTreeMap<PoolName, PoolState>,
        fleet: FleetSize,
        now: TimePoint,
    ) -> Vec<SizeChange> {
        let equal_share = fleet.total / (pools.len() + 1);
        let first_decision = *self.first_decision.get_or_insert(now);
        // A new owner has no record of earlier demand.
        let may_switch_off = now.since(first_decision) >= self.policy.off_wait;
        for (pool, state) in pools {
            let history = self.history.entry(pool.clone()).or_default();
            history.record(state, equal_share, fleet.capacity, &self.policy, now);
            if history.update_surge(state, equal_share, fleet.capacity, &self.policy, now) {
                self.surges.record_start(pool, now);
            }
            if history.is_surging {
                self.largest_surge = self.largest_surge.max(history.expected());
            }
        }
        let next = self.next_pools();
        let reserve = self.reserve(&next, (fleet, equal_share), now);
        let mut deficits: Vec<PoolDeficit> = Vec::new();
        let mut surpluses: Vec<PoolSurplus> = Vec::new();
        for (pool, state) in pools {
            let history = &self.history[pool];
            let least = if next.contains(pool) {
                reserve.max(self.policy.min_instances)
            } else {
                self.policy.min_instances
            };
            let needed = history.expected();
            if state.instances < needed.max(least) {
                deficits.push(PoolDeficit {
                    pool: pool.clone(),
                    needed: needed.saturating_sub(state.instances),
                    reserve: least.saturating_sub(state.instances.max(needed)),
                });
                continue;
            }
            let free = |kept: usize| state.instances.saturating_sub(kept).min(state.idle);
            let peak = |time: Duration| history.peak(time, now).max(least);
            let unneeded = free(peak(self.policy.keep_time));
            let unused = if may_switch_off {
                free(peak(self.policy.off_wait))
            } else {
                0
            };
            surpluses.push(PoolSurplus {
                pool: pool.clone(),
                unneeded,
                unused,
            });
        }
        distribute(deficits, surpluses, fleet.spare)
    }

    /// Returns the number of instances that a pool holds in reserve if it may surge next.
    fn reserve(
        &self,
        next: &[PoolName],
        (fleet, equal_share): (FleetSize, usize),
        now: TimePoint,
    ) -> usize {
        let (before, after) = self.policy.reserve_time;
        let is_due = self
            .surges
            .next_due()
            .is_some_and(|due| now.after(before) >= due && now <= due.after(after));
        if !is_due {
            return 0;
        }
        let others = self.history.iter().filter(|(pool, _)| !next.contains(pool));
        let needed: usize = others.map(|(_, history)| history.expected()).sum();
        let share = fleet.total.saturating_sub(needed) / next.len().max(1);
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "instances are few and not negative"
        )]
        // Before the first surge, and after a takeover, nothing is known of its size.
        let wanted =
            (self.largest_surge.max(equal_share) as f64 * self.policy.reserve_share) as usize;
        wanted.min(share)
    }

    /// Returns the pools that are likely to surge next: those without a surge so far, or else the
    /// one whose last surge is the oldest.
    fn next_pools(&self) -> Vec<PoolName> {
        let mut order: Vec<(&PoolName, Option<TimePoint>)> = self
            .history
            .iter()
            .filter(|(_, history)| !history.is_surging)
            .map(|(pool, _)| (pool, self.surges.starts().get(pool).copied()))
            .collect();
        order.sort_by_key(|(_, started)| *started);
        let never = order
            .iter()
            .filter(|(_, started)| started.is_none())
            .count();
        let first = order.into_iter().take(never.max(1));
        first.map(|(pool, _)| pool.clone()).collect()
    }
}
