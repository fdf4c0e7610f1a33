//! Which pool gives instances to which.

use crate::ids::PoolName;

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

/// Instances that a pool lacks.
#[derive(Debug, Clone)]
pub(super) struct PoolLack {
    pub pool: PoolName,
    /// For what is in use and waits.
    pub urgent: usize,
    /// For what comes if the arrivals go on.
    pub foreseen: usize,
}

/// Instances that a pool can give.
#[derive(Debug, Clone)]
pub(super) struct PoolSurplus {
    pub pool: PoolName,
    /// Instances that it needs neither now nor for its next turn.
    pub unneeded: usize,
    /// Further instances that it keeps for its next turn.
    pub kept: usize,
    /// Further instances that run nothing at present.
    pub resting: usize,
}

/// Serves the pools that lack instances from what others do not need, then from the spare pool, and
/// for what waits or surges already also from what others keep and from what rests there. Pools
/// whose turn is to come are refilled from the rest, and what nobody needs moves to the spare pool.
pub(super) fn distribute(
    mut lacks: Vec<PoolLack>,
    refills: Vec<(PoolName, usize)>,
    mut gives: Vec<PoolSurplus>,
    mut spare: usize,
) -> Vec<SizeChange> {
    lacks.sort_by_key(|lack| std::cmp::Reverse((lack.urgent, lack.foreseen)));
    gives.sort_by_key(|surplus| std::cmp::Reverse(surplus.unneeded));
    let mut changes = Vec::new();
    for PoolLack { pool, urgent, .. } in &mut lacks {
        take_surplus(
            pool,
            urgent,
            &mut gives,
            |give| &mut give.unneeded,
            &mut changes,
        );
        take(None, pool, urgent, &mut spare, &mut changes);
        take_surplus(
            pool,
            urgent,
            &mut gives,
            |give| &mut give.kept,
            &mut changes,
        );
        take_surplus(
            pool,
            urgent,
            &mut gives,
            |give| &mut give.resting,
            &mut changes,
        );
    }
    let foreseen = lacks.into_iter().map(|lack| (lack.pool, lack.foreseen));
    for (pool, mut lack) in foreseen.chain(refills) {
        take_surplus(
            &pool,
            &mut lack,
            &mut gives,
            |give| &mut give.unneeded,
            &mut changes,
        );
        take(None, &pool, &mut lack, &mut spare, &mut changes);
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

/// Takes what a pool lacks from one part of what the others can give.
fn take_surplus(
    to: &PoolName,
    lack: &mut usize,
    gives: &mut [PoolSurplus],
    part: fn(&mut PoolSurplus) -> &mut usize,
    changes: &mut Vec<SizeChange>,
) {
    for surplus in gives {
        let from = surplus.pool.clone();
        take(Some(from), to, lack, part(surplus), changes);
    }
}

fn take(
    from: Option<PoolName>,
    to: &PoolName,
    lack: &mut usize,
    room: &mut usize,
    changes: &mut Vec<SizeChange>,
) {
    let count = (*lack).min(*room);
    if count > 0 {
        *lack -= count;
        *room -= count;
        changes.push(SizeChange {
            from,
            to: Some(to.clone()),
            count,
        });
    }
}
