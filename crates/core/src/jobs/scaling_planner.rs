//! Decides how many instances each pool has.
//!
//! Load pattern: the demand of a pool rises to several times its mean within a second and falls
//! again after some seconds, which is only a few times as long as an instance takes to move. A pool
//! gets the instances for the work that is expected when they arrive. As a rise is steeper than any
//! forecast of it, a pool whose surge starts gets the instances of a usual surge at once, and the
//! pools that are likely to surge next hold a part of them in reserve. Instances that a pool no
//! longer needs go to the pools that lack some; they are switched off only after they have been
//! without work for as long as it costs to switch them off and on again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pool_history::{PoolHistory, SurgeChange};
use super::size_change::{PoolDeficit, PoolSurplus, distribute};
use super::surge_history::SurgeHistory;
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
    surges: SurgeHistory,
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
        let starts = self.surges.starts();
        starts
            .map(|(pool, at)| (pool.clone(), now.since(at)))
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
        self.record(pools, (fleet, equal_share), now);
        let quiet = pools.keys();
        let quiet = quiet.filter(|pool| self.history[*pool].surge().is_none());
        let next = self.surges.next_pools(quiet);
        let mut deficits: Vec<PoolDeficit> = Vec::new();
        let mut surpluses: Vec<PoolSurplus> = Vec::new();
        for (pool, state) in pools {
            let reserve = self.reserve(pool, next.contains(&pool), equal_share, now);
            let deficit = self.deficit(pool, state, reserve, now);
            let mut surplus = self.surplus(pool, state, reserve, may_switch_off, now);
            if deficit.needed > 0 {
                // It may lend what is idle, although it expects more work.
                surplus.unneeded = 0;
                surplus.unused = 0;
            }
            surpluses.push(surplus);
            deficits.push(deficit);
        }
        distribute(deficits, surpluses, fleet.spare)
    }

    /// Returns what a pool lacks, which may be nothing.
    fn deficit(
        &self,
        pool: &PoolName,
        state: &PoolState,
        reserve: usize,
        now: TimePoint,
    ) -> PoolDeficit {
        let least = self.policy.min_instances;
        let history = &self.history[pool];
        let idle = history.least_idle(self.policy.idle_time, now);
        let needed = history.expected().max(least);
        let needed = needed.saturating_sub(state.instances + idle);
        PoolDeficit {
            pool: pool.clone(),
            needed,
            reserve: reserve.saturating_sub(state.instances + needed),
        }
    }

    /// Returns what a pool can give away if it lacks no instances for its work.
    fn surplus(
        &self,
        pool: &PoolName,
        state: &PoolState,
        reserve: usize,
        may_switch_off: bool,
        now: TimePoint,
    ) -> PoolSurplus {
        let peak = |time: Duration| {
            let peak = self.history[pool].peak(time, now);
            peak.max(self.policy.min_instances)
        };
        let free = |kept: usize| state.instances.saturating_sub(kept).min(state.idle);
        let recent = peak(self.policy.keep_time);
        let unneeded = free(recent.max(reserve));
        let unused = if may_switch_off {
            free(peak(self.policy.off_wait).max(reserve))
        } else {
            0
        };
        let idle = self.history[pool].least_idle(self.policy.idle_time, now);
        let lent = idle.min(free(self.policy.min_instances));
        PoolSurplus {
            pool: pool.clone(),
            unneeded,
            reserved: free(recent).max(lent) - unneeded,
            unused,
        }
    }

    /// Records the demand of the pools, and the surges that have started or ended.
    fn record(
        &mut self,
        pools: &BTreeMap<PoolName, PoolState>,
        (fleet, equal_share): (FleetSize, usize),
        now: TimePoint,
    ) {
        for (pool, state) in pools {
            let history = self.history.entry(pool.clone()).or_default();
            match history.record(state, equal_share, fleet.capacity, &self.policy, now) {
                SurgeChange::Unchanged => {}
                SurgeChange::Started => self.surges.record_start(pool, now),
                SurgeChange::Ended(size) => self.surges.record_size(pool, size),
            }
        }
    }

    /// Returns the number of instances that a pool holds for a surge that has just started, or if it
    /// is likely to surge next.
    fn reserve(&self, pool: &PoolName, is_next: bool, equal_share: usize, now: TimePoint) -> usize {
        let surge = self.history[pool].surge();
        let is_onset =
            surge.is_some_and(|surge| now.since(surge.started) <= self.policy.onset_time);
        let usual = self.surges.usual_size(pool);
        match usual {
            Some(size) if is_onset => part_of(size, self.policy.onset_share),
            Some(size) if is_next => part_of(size, self.policy.reserve_share),
            None if is_onset => part_of(equal_share, self.policy.first_onset_share),
            None if is_next => part_of(equal_share, self.policy.first_reserve_share),
            _ => 0,
        }
    }
}

/// Returns a fraction of a number of instances, rounded down.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "instances are few and not negative"
)]
fn part_of(instances: usize, fraction: f64) -> usize {
    (instances as f64 * fraction) as usize
}
