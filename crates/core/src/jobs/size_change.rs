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
    /// For work that is running, waiting or, during a surge, expected.
    pub urgent: usize,
    /// Further instances, for the work expected if arrivals continue.
    pub expected: usize,
}

/// Number of instances that a pool can give away.
#[derive(Debug, Clone)]
pub(super) struct PoolSurplus {
    pub pool: PoolName,
    /// Instances needed neither now nor for the next surge of the pool.
    pub unneeded: usize,
    /// Further instances, in reserve for the next surge of the pool.
    pub reserved: usize,
    /// Further instances, without tasks but needed within the peak window.
    pub unused: usize,
}

/// Covers the deficits of pools with instances that other pools do not need, then from the spare
/// pool. Urgent deficits are also covered with the reserved and unused instances of other pools.
/// The remaining instances refill pools that are likely to surge next, and what no pool needs moves
/// to the spare pool.
pub(super) fn distribute(
    mut deficits: Vec<PoolDeficit>,
    refills: Vec<(PoolName, usize)>,
    mut surpluses: Vec<PoolSurplus>,
    mut spare: usize,
) -> Vec<SizeChange> {
    deficits.sort_by_key(|deficit| std::cmp::Reverse((deficit.urgent, deficit.expected)));
    surpluses.sort_by_key(|surplus| std::cmp::Reverse(surplus.unneeded));
    let mut changes = Vec::new();
    for PoolDeficit { pool, urgent, .. } in &mut deficits {
        take_surplus(
            pool,
            urgent,
            &mut surpluses,
            |surplus| &mut surplus.unneeded,
            &mut changes,
        );
        take(None, pool, urgent, &mut spare, &mut changes);
        take_surplus(
            pool,
            urgent,
            &mut surpluses,
            |surplus| &mut surplus.reserved,
            &mut changes,
        );
        take_surplus(
            pool,
            urgent,
            &mut surpluses,
            |surplus| &mut surplus.unused,
            &mut changes,
        );
    }
    let expected = deficits
        .into_iter()
        .map(|deficit| (deficit.pool, deficit.expected));
    for (pool, mut lacking) in expected.chain(refills) {
        take_surplus(
            &pool,
            &mut lacking,
            &mut surpluses,
            |surplus| &mut surplus.unneeded,
            &mut changes,
        );
        take(None, &pool, &mut lacking, &mut spare, &mut changes);
    }
    for surplus in surpluses.into_iter().filter(|surplus| surplus.unneeded > 0) {
        changes.push(SizeChange {
            from: Some(surplus.pool),
            to: None,
            count: surplus.unneeded,
        });
    }
    changes
}

/// Moves up to `lacking` instances to a pool from the given part of the other pools' surpluses.
fn take_surplus(
    to: &PoolName,
    lacking: &mut usize,
    surpluses: &mut [PoolSurplus],
    part: fn(&mut PoolSurplus) -> &mut usize,
    changes: &mut Vec<SizeChange>,
) {
    for surplus in surpluses {
        let from = surplus.pool.clone();
        take(Some(from), to, lacking, part(surplus), changes);
    }
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
