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
/// for what waits or surges already also from what others keep and from what rests there. Pools whose turn is to come are refilled from
/// the rest, and what nobody needs moves to the spare pool.
pub(super) fn distribute(
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
        for surplus in &mut gives {
            take(
                Some(&surplus.pool),
                &lack.pool,
                &mut lack.urgent,
                &mut surplus.resting,
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
