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

use super::{PoolLoad, SizingPolicy};
use crate::ids::PoolName;
use crate::time::TimePoint;

/// Most instances that a pool gets at once for lasting tasks that wait.
const FURTHER_INSTANCES: usize = 2;

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

/// Instances to move between pools; none stands for the spare pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SizeChange {
    /// Pool that gives; none for the spare pool.
    pub from: Option<PoolName>,
    /// Pool that takes; none for the spare pool.
    pub to: Option<PoolName>,
    /// Number of instances.
    pub count: usize,
}

#[derive(Debug, Clone, Default)]
struct PoolHistory {
    /// Wanted sizes of the recent past, and sizes for what was in use and waited.
    wanted: Vec<(TimePoint, usize, usize)>,
    surged: Option<TimePoint>,
}

/// Instances that a pool lacks.
#[derive(Debug, Clone)]
struct PoolLack {
    pool: PoolName,
    /// For what is in use and waits.
    urgent: usize,
    /// For what comes if the arrivals go on.
    foreseen: usize,
}

/// Instances that a pool can give.
#[derive(Debug, Clone)]
struct PoolSurplus {
    pool: PoolName,
    /// Instances that it needs neither now nor for its next turn.
    unneeded: usize,
    /// Further instances that it keeps for its next turn.
    kept: usize,
}

/// Remembers the demand of the pools.
#[derive(Debug, Default)]
pub struct PoolSizing {
    policy: SizingPolicy,
    history: BTreeMap<PoolName, PoolHistory>,
}

impl PoolSizing {
    /// Creates the sizing.
    #[must_use]
    pub fn new(policy: SizingPolicy) -> Self {
        Self {
            policy,
            history: BTreeMap::new(),
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
        self.note(pools, even, capacity, now);
        let next = self.next_pools();
        let mut lacks: Vec<PoolLack> = Vec::new();
        let mut refills: Vec<(PoolName, usize)> = Vec::new();
        let mut gives: Vec<PoolSurplus> = Vec::new();
        for (pool, size) in pools {
            let history = &self.history[pool];
            let peak = history.wanted.iter().map(|(_, wanted, _)| *wanted).max();
            let peak = peak.unwrap_or(0);
            let present = history.wanted.last().map_or(0, |(_, _, present)| *present);
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
        distribute(lacks, refills, gives, spare)
    }

    /// Takes the demand of this moment.
    fn note(
        &mut self,
        pools: &BTreeMap<PoolName, PoolSize>,
        even: usize,
        capacity: u64,
        now: TimePoint,
    ) {
        for (pool, size) in pools {
            let history = self.history.entry(pool.clone()).or_default();
            let headroom = self.policy.headroom;
            let wanted = wanted_instances(&size.load, capacity, headroom);
            let present = PoolLoad {
                arriving: 0,
                ..size.load
            };
            let present = wanted_instances(&present, capacity, headroom);
            // A lasting task can wait beside free processor, for memory or for a worker that is not
            // being emptied. Another instance helps in each case, up to an even part of all: the
            // limit of a team can hold the task back too.
            let further = size.load.waiting_lasting.min(FURTHER_INSTANCES);
            let least = if further > 0 {
                (size.instances + further).min(even)
            } else {
                0
            };
            history
                .wanted
                .push((now, wanted.max(least), present.max(least)));
            let memory = self.policy.peak_memory;
            history.wanted.retain(|(at, ..)| now.since(*at) <= memory);
            if is_surging(&size.load, self.policy.surge_share) {
                history.surged = Some(now);
            }
        }
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

/// Instances that hold what is in use and what waits, or what comes if that is more.
#[must_use]
pub fn wanted_instances(load: &PoolLoad, capacity: u64, headroom: f64) -> usize {
    // A backlog of short tasks needs less room than its tasks at once.
    let waiting = load.waiting.min(load.backlog.max(load.waiting / 2));
    // While a backlog is worked off, what comes needs room beside it.
    let ending = if waiting > 0 {
        load.ending + waiting + load.arriving / 2
    } else {
        load.ending
    };
    let used = load.lasting + u64::max(ending, load.arriving);
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "amounts are far below 2^52 and not negative"
    )]
    let instances = (used as f64 * (1.0 + headroom) / capacity.max(1) as f64).ceil() as usize;
    instances
}

fn is_surging(load: &PoolLoad, share: f64) -> bool {
    let demand = load.lasting + load.ending + load.waiting;
    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    let is_surging = demand as f64 > load.capacity as f64 * share;
    is_surging && load.capacity > 0
}

/// Serves the pools that lack instances from what others do not need, then from the spare pool, and
/// for what waits already also from what others keep. Pools whose turn is to come are refilled from
/// the rest, and what nobody needs moves to the spare pool.
fn distribute(
    mut lacks: Vec<PoolLack>,
    refills: Vec<(PoolName, usize)>,
    mut gives: Vec<PoolSurplus>,
    mut spare: usize,
) -> Vec<SizeChange> {
    lacks.sort_by_key(|lack| std::cmp::Reverse((lack.urgent, lack.foreseen)));
    gives.sort_by_key(|surplus| std::cmp::Reverse(surplus.unneeded));
    let mut changes = Vec::new();
    let mut take = |from: Option<&PoolName>, to: &PoolName, lack: &mut usize, room: &mut usize| {
        let count = (*lack).min(*room);
        if count > 0 {
            *lack -= count;
            *room -= count;
            changes.push(SizeChange {
                from: from.cloned(),
                to: Some(to.clone()),
                count,
            });
        }
    };
    for lack in &mut lacks {
        for surplus in &mut gives {
            take(
                Some(&surplus.pool),
                &lack.pool,
                &mut lack.urgent,
                &mut surplus.unneeded,
            );
        }
        take(None, &lack.pool, &mut lack.urgent, &mut spare);
        for surplus in &mut gives {
            take(
                Some(&surplus.pool),
                &lack.pool,
                &mut lack.urgent,
                &mut surplus.kept,
            );
        }
    }
    for lack in &mut lacks {
        for surplus in &mut gives {
            take(
                Some(&surplus.pool),
                &lack.pool,
                &mut lack.foreseen,
                &mut surplus.unneeded,
            );
        }
        take(None, &lack.pool, &mut lack.foreseen, &mut spare);
    }
    for (to, mut lack) in refills {
        for surplus in &mut gives {
            take(Some(&surplus.pool), &to, &mut lack, &mut surplus.unneeded);
        }
        take(None, &to, &mut lack, &mut spare);
    }
    for surplus in gives.into_iter().filter(|surplus| surplus.unneeded > 0) {
        changes.push(SizeChange {
            from: Some(surplus.pool),
            to: None,
            count: surplus.unneeded,
        });
    }
    changes
}
