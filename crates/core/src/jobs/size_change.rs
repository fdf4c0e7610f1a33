//! Distribution of instances among the pools.

use crate::ids::PoolName;

/// Number of instances to move from one pool to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SizeChange {
    /// Source pool; `None` is the spare pool.
    pub from: Option<PoolName>,
    /// Target pool; `None` is the spare pool.
    pub to: Option<PoolName>,
    /// Number of instances.
    pub count: usize,
}

/// Number of instances that a pool lacks.
#[derive(Debug, Clone)]
pub(super) struct PoolDeficit {
    pub pool: PoolName,
    /// For expected work.
    pub needed: usize,
    /// Further instances, for a surge that is likely.
    pub reserve: usize,
}

/// Number of instances that a pool can give away.
#[derive(Debug, Clone)]
pub(super) struct PoolSurplus {
    pub pool: PoolName,
    /// Instances that the pool does not need at present, without its reserve.
    pub unneeded: usize,
    /// Instances in reserve, or idle for so long that the forecast for them was wrong. Only a pool that
    /// needs them for expected work gets them.
    pub reserved: usize,
    /// Unneeded instances that have been without work for so long that they can be switched off.
    pub unused: usize,
}

/// Covers the deficits of pools with instances that other pools do not need, then from the spare
/// pool, then with reserves, and switches off the instances that are unused.
pub(super) fn distribute(
    mut deficits: Vec<PoolDeficit>,
    mut surpluses: Vec<PoolSurplus>,
    mut spare: usize,
) -> Vec<SizeChange> {
    deficits.sort_by_key(|deficit| std::cmp::Reverse(deficit.needed));
    surpluses.sort_by_key(|surplus| std::cmp::Reverse(surplus.unneeded));
    let mut changes = Vec::new();
    for deficit in &deficits {
        let mut lacking = deficit.needed;
        let pool = &deficit.pool;
        take_unneeded(pool, &mut lacking, &mut surpluses, &mut spare, &mut changes);
        for surplus in surpluses.iter_mut().filter(|surplus| surplus.pool != *pool) {
            let from = Some(surplus.pool.clone());
            let reserved = &mut surplus.reserved;
            take(from, pool, &mut lacking, reserved, &mut changes);
        }
    }
    for deficit in &deficits {
        let mut lacking = deficit.reserve;
        let pool = &deficit.pool;
        take_unneeded(pool, &mut lacking, &mut surpluses, &mut spare, &mut changes);
    }
    for surplus in surpluses {
        let count = surplus.unused.min(surplus.unneeded);
        if count > 0 {
            changes.push(SizeChange {
                from: Some(surplus.pool),
                to: None,
                count,
            });
        }
    }
    changes
}

/// Covers a deficit with unneeded instances of other pools, then from the spare pool.
fn take_unneeded(
    to: &PoolName,
    lacking: &mut usize,
    surpluses: &mut [PoolSurplus],
    spare: &mut usize,
    changes: &mut Vec<SizeChange>,
) {
    for surplus in surpluses {
        let from = Some(surplus.pool.clone());
        take(from, to, lacking, &mut surplus.unneeded, changes);
    }
    take(None, to, lacking, spare, changes);
}

/// Moves as many instances as are both lacking and available.
fn take(
    from: Option<PoolName>,
    to: &PoolName,
    lacking: &mut usize,
    available: &mut usize,
    changes: &mut Vec<SizeChange>,
) {
    let count = (*lacking).min(*available);
    if count > 0 {
        *lacking -= count;
        *available -= count;
        changes.push(SizeChange {
            from,
            to: Some(to.clone()),
            count,
        });
    }
}
