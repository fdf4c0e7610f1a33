//! How many instances each pool should have.
//!
//! Load pattern: the demand turns from pool to pool. Each surges for some seconds to more than its
//! pool holds while the others are nearly idle, and the pool whose last surge lies longest ago is
//! the likeliest to be next. A surging pool gets all that it needs in the first decision that sees
//! the surge, also what pools keep for their own turns and what idles beyond their present use. When
//! its arrivals ebb away, it shrinks to what it uses. Shortly before the next surge is due, what is
//! free is shared among the pools whose turn may come, since an instance takes longer to move than
//! a caller likes to wait.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pool_history::PoolHistory;
use super::size_change::{PoolLack, PoolSurplus, distribute};
use super::surge_clock::SurgeClock;
use super::{PoolLoad, ScalingPolicy, SizeChange};
use crate::ids::PoolName;
use crate::time::TimePoint;

/// A pool as the sizing sees it.
#[derive(Debug, Clone, Copy)]
pub struct PoolState {
    /// Load of the pool.
    pub load: PoolLoad,
    /// Instances that it has or that are on their way to it.
    pub instances: usize,
    /// Of these, instances that run nothing and can be taken away.
    pub idle: usize,
}

/// The instances outside the pools that have work, and those of all pools.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Instances in the spare pool that can be moved.
    pub spare: usize,
    /// All instances, also those on their way.
    pub total: usize,
    /// Processor of an instance, in thousandths of a core.
    pub capacity: u64,
}

/// Remembers the demand of the pools.
#[derive(Debug, Default)]
pub struct ScalingPlanner {
    policy: ScalingPolicy,
    history: BTreeMap<PoolName, PoolHistory>,
    surges: SurgeClock,
    /// Most instances that a surge has used.
    usual: usize,
    /// When the first decision was made.
    begun: Option<TimePoint>,
}

impl ScalingPlanner {
    /// Creates the sizing.
    #[must_use]
    pub fn new(policy: ScalingPolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Takes over what another owner knew: how long ago each pool began to surge last.
    #[must_use]
    pub fn with_surges(mut self, surges: &[(PoolName, Duration)], now: TimePoint) -> Self {
        for (pool, age) in surges {
            let at = now.since_origin().saturating_sub(*age);
            self.surges.note_begin(pool, TimePoint::new(at));
        }
        self
    }

    /// How long ago each pool began to surge last; pools that never did are left out.
    #[must_use]
    pub fn surges(&self, now: TimePoint) -> Vec<(PoolName, Duration)> {
        let begins = self.surges.begins().iter();
        begins
            .map(|(pool, at)| (pool.clone(), now.since(*at)))
            .collect()
    }

    /// Whether a pool surges.
    #[must_use]
    pub fn is_surging(&self) -> bool {
        self.history.values().any(|history| history.surge.is_some())
    }

    /// Instances that a pool wants at present, and whether it surges.
    #[must_use]
    pub fn wanted(&self, pool: &PoolName) -> (usize, bool) {
        let history = self.history.get(pool);
        history.map_or((0, false), |history| {
            (history.peak(), history.surge.is_some())
        })
    }

    /// Decides which instances move.
    pub fn decide(
        &mut self,
        pools: &BTreeMap<PoolName, PoolState>,
        fleet: FleetSize,
        now: TimePoint,
    ) -> Vec<SizeChange> {
        let even = fleet.total / (pools.len() + 1);
        self.note(pools, even, fleet.capacity, now);
        let next = self.next_pools();
        let kept = self.kept_size(pools, &next, (fleet, even), now);
        let mut lacks: Vec<PoolLack> = Vec::new();
        let mut refills: Vec<(PoolName, usize)> = Vec::new();
        let mut gives: Vec<PoolSurplus> = Vec::new();
        for (pool, size) in pools {
            if size.instances < self.history[pool].peak() {
                lacks.push(self.lack(pool, size));
                continue;
            }
            let needed = self.needed(pool);
            let target = if next.contains(pool) {
                needed.max(kept)
            } else {
                needed
            };
            if size.instances < target {
                refills.push((pool.clone(), target - size.instances));
            }
            gives.push(self.surplus(pool, size, target));
        }
        let begun = *self.begun.get_or_insert(now);
        let mut changes = distribute(lacks, refills, gives, fleet.spare);
        // An instance that is switched off is away for the time of two moves. A new owner does not
        // know the peaks before.
        if now.since(begun) < self.policy.peak_window || !self.may_switch_off(now) {
            changes.retain(|change| change.to.is_some());
        }
        changes
    }

    /// Instances that a pool has wanted lately.
    fn needed(&self, pool: &PoolName) -> usize {
        self.history[pool].peak().max(self.policy.min_instances)
    }

    fn lack(&self, pool: &PoolName, size: &PoolState) -> PoolLack {
        let history = &self.history[pool];
        // What comes in a surge is as certain as what waits.
        let urgent = if history.surge.is_some() {
            history.present().max(history.coming())
        } else {
            history.present()
        };
        PoolLack {
            pool: pool.clone(),
            urgent: urgent.saturating_sub(size.instances),
            foreseen: history.peak().saturating_sub(size.instances.max(urgent)),
        }
    }

    /// What a pool of the wanted size `target` can give.
    fn surplus(&self, pool: &PoolName, size: &PoolState, target: usize) -> PoolSurplus {
        let history = &self.history[pool];
        let free = |kept: usize| size.instances.saturating_sub(kept).min(size.idle);
        let unneeded = free(target);
        let kept = free(self.needed(pool)) - unneeded;
        let in_use = history.least().max(self.policy.min_instances);
        let resting = if history.surge.is_some() {
            0
        } else {
            free(in_use).saturating_sub(unneeded + kept)
        };
        PoolSurplus {
            pool: pool.clone(),
            unneeded,
            kept,
            resting,
        }
    }

    /// Whether the next surge is far enough for instances to be switched off until then.
    fn may_switch_off(&self, now: TimePoint) -> bool {
        let limit = self.policy.min_off_time;
        match self.surges.next_due() {
            Some(due) if now < due => due.since(now) > limit,
            Some(due) if now.since(due) < self.policy.overdue_wait => false,
            _ => {
                let mut history = self.history.values();
                !history.any(|history| history.has_ebbed_within(limit, now))
            }
        }
    }

    fn note(
        &mut self,
        pools: &BTreeMap<PoolName, PoolState>,
        even: usize,
        capacity: u64,
        now: TimePoint,
    ) {
        let usual = self.usual;
        for (pool, size) in pools {
            let history = self.history.entry(pool.clone()).or_default();
            if history.note(size, (even, usual), capacity, &self.policy, now) {
                self.surges.note_begin(pool, now);
            }
            if history.surge.is_some() {
                self.usual = self.usual.max(history.used());
            }
        }
    }

    /// Instances that a pool keeps whose turn may be next.
    ///
    /// While another pool surges, that is nothing beyond its need if the next surge is known to be
    /// far off. Shortly before a surge is due, and after one has ended, it is an even part of what
    /// is not needed elsewhere.
    fn kept_size(
        &self,
        pools: &BTreeMap<PoolName, PoolState>,
        next: &[PoolName],
        (fleet, even): (FleetSize, usize),
        now: TimePoint,
    ) -> usize {
        let is_surging = self.is_surging();
        let lead = self.policy.move_time + self.policy.due_margin;
        let due = self.surges.next_due();
        let is_due = due.is_some_and(|due| {
            let begins = due.since_origin().saturating_sub(lead);
            let ends = due.after(self.policy.overdue_wait);
            now >= TimePoint::new(begins) && now <= ends
        });
        if !is_due {
            return match due {
                Some(due) if is_surging && now < due && self.may_switch_off(now) => 0,
                _ => even,
            };
        }
        let others = pools.keys().filter(|pool| !next.contains(pool));
        let needed: usize = others
            .filter(|pool| self.history.contains_key(*pool))
            .map(|pool| self.needed(pool))
            .sum();
        let share = fleet.total.saturating_sub(needed) / next.len().max(1);
        share.min(self.usual.max(even))
    }

    /// Pools whose turn may be next: those whose last surge lies longest ago.
    fn next_pools(&self) -> Vec<PoolName> {
        let mut order: Vec<(&PoolName, Option<TimePoint>)> = self
            .history
            .iter()
            .filter(|(_, history)| history.surge.is_none())
            .map(|(pool, _)| (pool, self.surges.begins().get(pool).copied()))
            .collect();
        order.sort_by_key(|(_, begun)| *begun);
        let never = order.iter().filter(|(_, begun)| begun.is_none()).count();
        let count = never.max(self.policy.warm_pools);
        let first = order.into_iter().take(count);
        first.map(|(pool, _)| pool.clone()).collect()
    }
}
