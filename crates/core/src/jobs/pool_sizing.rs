//! How many instances each pool should have.
//!
//! Load pattern: the demand turns from pool to pool. Each surges for some seconds to more than its
//! pool holds while the others are nearly idle, and the pool whose last surge lies longest ago is
//! the likeliest to be next. A pool grows at once with what waits. It shrinks when its peak has
//! passed; one that has just had its turn shrinks to what it needs, one whose turn is still to come
//! keeps an even part of all instances, since an instance takes longer to move than a caller likes
//! to wait. What it keeps goes to pools that lack instances now.

use std::collections::BTreeMap;
use std::time::Duration;

use super::pool_history::PoolHistory;
use super::size_change::{PoolLack, PoolSurplus, distribute};
use super::{PoolLoad, SizeChange, SizingPolicy};
use crate::ids::PoolName;
use crate::time::TimePoint;

/// A pool as the sizing sees it.
#[derive(Debug, Clone, Copy)]
pub struct PoolSize {
    /// Load of the pool.
    pub load: PoolLoad,
    /// Instances that it has or that are on their way to it.
    pub instances: usize,
    /// Of these, instances that run nothing and can be taken away.
    pub idle: usize,
}

/// Remembers the demand of the pools.
#[derive(Debug, Default)]
pub struct PoolSizing {
    policy: SizingPolicy,
    history: BTreeMap<PoolName, PoolHistory>,
    /// When the first decision was made.
    begun: Option<TimePoint>,
}

impl PoolSizing {
    /// Creates the sizing.
    #[must_use]
    pub fn new(policy: SizingPolicy) -> Self {
        Self {
            policy,
            history: BTreeMap::new(),
            begun: None,
        }
    }

    /// Takes over what another owner knew: how long ago each pool surged last.
    #[must_use]
    pub fn with_surges(mut self, surges: &[(PoolName, Duration)], now: TimePoint) -> Self {
        for (pool, age) in surges {
            let at = now.since_origin().saturating_sub(*age);
            let history = self.history.entry(pool.clone()).or_default();
            history.surged = Some(TimePoint::new(at));
        }
        self
    }

    /// How long ago each pool surged last; pools that never did are left out.
    #[must_use]
    pub fn surges(&self, now: TimePoint) -> Vec<(PoolName, Duration)> {
        let surged = self.history.iter().filter_map(|(pool, history)| {
            let surged = history.surged?;
            Some((pool.clone(), now.since(surged)))
        });
        surged.collect()
    }

    /// Decides which instances move. `spare` is the number of instances in the spare pool, and
    /// `capacity` the processor of an instance in thousandths of a core.
    pub fn decide(
        &mut self,
        pools: &BTreeMap<PoolName, PoolSize>,
        spare: usize,
        capacity: u64,
        now: TimePoint,
    ) -> Vec<SizeChange> {
        let total = spare + pools.values().map(|size| size.instances).sum::<usize>();
        let even = total / (pools.len() + 1);
        for (pool, size) in pools {
            let history = self.history.entry(pool.clone()).or_default();
            history.note(size, even, capacity, &self.policy, now);
        }
        let next = self.next_pools();
        let mut lacks: Vec<PoolLack> = Vec::new();
        let mut refills: Vec<(PoolName, usize)> = Vec::new();
        let mut gives: Vec<PoolSurplus> = Vec::new();
        for (pool, size) in pools {
            let history = &self.history[pool];
            let (peak, present) = (history.peak(), history.present());
            let needed = peak.max(self.policy.least_instances);
            let target = if next.contains(pool) {
                needed.max(even)
            } else {
                needed
            };
            if size.instances < peak {
                lacks.push(PoolLack {
                    pool: pool.clone(),
                    urgent: present.saturating_sub(size.instances),
                    foreseen: peak - size.instances.max(present),
                });
            } else if size.instances < target {
                refills.push((pool.clone(), target - size.instances));
            } else {
                let unneeded = size.instances.saturating_sub(target).min(size.idle);
                let free = size.instances.saturating_sub(needed).min(size.idle);
                gives.push(PoolSurplus {
                    pool: pool.clone(),
                    unneeded,
                    kept: free - unneeded,
                });
            }
        }
        let begun = *self.begun.get_or_insert(now);
        let mut changes = distribute(lacks, refills, gives, spare);
        if now.since(begun) < self.policy.peak_memory {
            // The peaks before are not known, and an instance that is switched off is away for the
            // time of two moves.
            changes.retain(|change| change.to.is_some());
        }
        changes
    }

    /// Pools whose turn may be next: those whose last surge lies longest ago.
    fn next_pools(&self) -> Vec<PoolName> {
        let mut order: Vec<(&PoolName, Option<TimePoint>)> = self
            .history
            .iter()
            .map(|(pool, history)| (pool, history.surged))
            .collect();
        order.sort_by_key(|(_, surged)| *surged);
        let never = order.iter().filter(|(_, surged)| surged.is_none()).count();
        let count = never.max(self.policy.kept_pools);
        let first = order.into_iter().take(count);
        first.map(|(pool, _)| pool.clone()).collect()
    }
}
