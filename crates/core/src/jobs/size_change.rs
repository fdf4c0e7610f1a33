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
    /// Instances that the pool does not need at present.
    pub unneeded: usize,
    /// Those of them that have been without work for so long that they can be switched off.
    pub unused: usize,
}

/// Covers the deficits of pools with instances that other pools do not need, then from the spare
/// pool, and switches off the instances that are unused.
pub(super) fn distribute(
    mut deficits: Vec<PoolDeficit>,
    mut surpluses: Vec<PoolSurplus>,
    mut spare: usize,
) -> Vec<SizeChange> {
    deficits.sort_by_key(|deficit| std::cmp::Reverse(deficit.needed));
    surpluses.sort_by_key(|surplus| std::cmp::Reverse(surplus.unneeded));
    let mut changes = Vec::new();
    let needed = deficits
        .iter()
        .map(|deficit| (&deficit.pool, deficit.needed));
    let reserves = deficits
        .iter()
        .map(|deficit| (&deficit.pool, deficit.reserve));
    for (pool, mut lacking) in needed.chain(reserves) {
        for surplus in &mut surpluses {
            let from = Some(surplus.pool.clone());
            take(
                from,
                pool,
                &mut lacking,
                &mut surplus.unneeded,
                &mut changes,
            );
        }
        take(None, pool, &mut lacking, &mut spare, &mut changes);
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
