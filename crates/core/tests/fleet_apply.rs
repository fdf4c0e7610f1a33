//! Rules that every applied record must satisfy, regardless of its author.

mod support;

use assert_matches::assert_matches;
use sesamedeal_core::fleet::{
    ApplyError, ApplyLimits, FleetChange, FleetState, InstanceState, KeyRecord,
};
use sesamedeal_core::fleet::{QueueRecord, TeamRecord};
use sesamedeal_core::ids::{KeyId, PoolName, QueueName, TeamName};
use support::{apply, fleet, instance, moving, name, pool, set_state};

fn grant(id: &str, team: &str) -> FleetChange {
    FleetChange::GrantKey {
        id: KeyId::new(id),
        key: KeyRecord {
            team: TeamName::new(team),
            hash: [7; 32],
            withdrawn: false,
        },
    }
}

fn put_team(team: &str) -> FleetChange {
    FleetChange::PutTeam {
        name: TeamName::new(team),
        team: TeamRecord { share: 1, limit: 8 },
    }
}

/// Guards against a partially applied record: when a later change is rejected, the earlier changes
/// of the record must be rolled back, in the maps and in the index.
#[test]
fn failure_rolls_back() {
    let mut state = fleet(&[("a", 3, 1, 3), ("spare", 1, 1, 1)]);
    apply(&mut state, vec![put_team("t"), grant("k", "t")]).unwrap();
    let before = state.clone();
    let result = apply(
        &mut state,
        vec![
            set_state(0, InstanceState::Failed),
            FleetChange::PutPool {
                name: PoolName::new("b"),
                pool: pool(1, 1),
            },
            FleetChange::PutQueue {
                name: QueueName::new("q"),
                queue: QueueRecord {
                    pool: PoolName::new("b"),
                    open: false,
                },
            },
            FleetChange::RemoveTeam {
                name: TeamName::new("t"),
            },
            set_state(1, InstanceState::Draining),
        ],
    );
    assert_matches!(result, Err(ApplyError::BudgetExceeded { .. }));
    assert_eq!(state, before);
    for name in ["a", "b", "spare"] {
        let name = PoolName::new(name);
        assert_eq!(state.pool_count(&name), before.pool_count(&name));
    }
    assert!(!state.keys[&KeyId::new("k")].withdrawn);
}

/// Guards against planned actions beyond the availability budget, including a budget that failures
/// have already exceeded.
#[test]
fn budget_holds() {
    let mut state = fleet(&[("a", 5, 2, 5), ("spare", 1, 1, 1)]);
    apply(
        &mut state,
        vec![set_state(0, InstanceState::Draining), moving(1, "spare")],
    )
    .unwrap();
    for next in [InstanceState::Draining, InstanceState::Quarantined] {
        assert_matches!(
            apply(&mut state, vec![set_state(2, next)]),
            Err(ApplyError::BudgetExceeded { .. })
        );
    }
    apply(&mut state, vec![set_state(2, InstanceState::Failed)]).unwrap();
    assert_eq!(state.unavailable(&PoolName::new("a")), 3);
    apply(&mut state, vec![set_state(0, InstanceState::Active)]).unwrap();
    assert_matches!(
        apply(&mut state, vec![set_state(3, InstanceState::Draining)]),
        Err(ApplyError::BudgetExceeded { .. })
    );
}

/// Guards against an instance that changes its pool without a generation in between in which it
/// accepts no tasks.
#[test]
fn moves_ordered() {
    let mut state = fleet(&[("a", 2, 2, 2), ("b", 0, 1, 0), ("spare", 1, 1, 1)]);
    let assign = |pool: &str| FleetChange::AssignInstance {
        name: name(0),
        pool: PoolName::new(pool),
    };
    assert_matches!(
        apply(&mut state, vec![assign("b")]),
        Err(ApplyError::InvalidTransition { .. })
    );
    assert_matches!(
        apply(&mut state, vec![moving(0, "b"), assign("b")]),
        Err(ApplyError::InvalidTransition { .. })
    );
    let put = FleetChange::PutInstance {
        name: name(0),
        instance: instance("b", 0),
    };
    assert_matches!(
        apply(&mut state, vec![put]),
        Err(ApplyError::InvalidTransition { .. })
    );
    apply(&mut state, vec![moving(0, "b")]).unwrap();
    assert_matches!(
        apply(&mut state, vec![assign("spare")]),
        Err(ApplyError::InvalidTransition { .. })
    );
    apply(&mut state, vec![assign("b")]).unwrap();
    assert_eq!(state.instances[&name(0)].pool, PoolName::new("b"));
    assert!(state.instances[&name(0)].state.is_active());
}

/// Guards against removing an instance that an entry instance may still use. The instance could
/// then be registered again in another pool.
#[test]
fn removal_follows_failure() {
    let mut state = fleet(&[("a", 2, 2, 2), ("spare", 1, 1, 1)]);
    let remove = FleetChange::RemoveInstance { name: name(0) };
    let failed = set_state(0, InstanceState::Failed);
    assert_matches!(
        apply(&mut state, vec![remove.clone()]),
        Err(ApplyError::InvalidTransition { .. })
    );
    assert_matches!(
        apply(&mut state, vec![failed.clone(), remove.clone()]),
        Err(ApplyError::InvalidTransition { .. })
    );
    apply(&mut state, vec![failed]).unwrap();
    apply(&mut state, vec![remove]).unwrap();
    assert!(!state.instances.contains_key(&name(0)));
}

/// Guards against a withdrawn key that becomes valid again, either because its id is granted again
/// or because its team is recreated.
#[test]
fn key_ids_unique() {
    let mut state = fleet(&[("spare", 1, 1, 1)]);
    apply(&mut state, vec![put_team("t"), grant("k", "t")]).unwrap();
    let remove = FleetChange::RemoveTeam {
        name: TeamName::new("t"),
    };
    apply(&mut state, vec![remove]).unwrap();
    assert!(state.keys[&KeyId::new("k")].withdrawn);
    apply(&mut state, vec![put_team("t")]).unwrap();
    assert!(state.keys[&KeyId::new("k")].withdrawn);
    assert_matches!(
        apply(&mut state, vec![grant("k", "t")]),
        Err(ApplyError::KeyIdUsed { .. })
    );
    assert_matches!(
        apply(&mut state, vec![grant("k2", "missing")]),
        Err(ApplyError::Missing { .. })
    );
}

/// Guards against a state loaded from a snapshot that does not count unavailable instances. The
/// index is not serialized and must be rebuilt.
#[test]
fn snapshot_keeps_budget() {
    let mut state = fleet(&[("a", 3, 1, 3), ("spare", 1, 1, 1)]);
    apply(&mut state, vec![set_state(0, InstanceState::Draining)]).unwrap();
    let text = serde_json::to_string(&state).unwrap();
    let mut loaded: FleetState = serde_json::from_str(&text).unwrap();
    assert_eq!(loaded, state);
    assert_eq!(loaded.unavailable(&PoolName::new("a")), 1);
    assert_matches!(
        apply(&mut loaded, vec![set_state(1, InstanceState::Draining)]),
        Err(ApplyError::BudgetExceeded { .. })
    );
}

/// Guards against a closed pool that accepts instances again, or that is removed while it still has
/// instances.
#[test]
fn closed_pool() {
    let mut state = fleet(&[("a", 1, 1, 1), ("b", 1, 1, 1), ("spare", 1, 1, 1)]);
    let a = PoolName::new("a");
    apply(&mut state, vec![FleetChange::ClosePool { name: a.clone() }]).unwrap();
    assert_eq!(state.pools[&a].size, 0);
    assert_matches!(
        apply(&mut state, vec![moving(1, "a")]),
        Err(ApplyError::InvalidTransition { .. })
    );
    let remove = FleetChange::RemovePool { name: a };
    assert_matches!(
        apply(&mut state, vec![remove.clone()]),
        Err(ApplyError::PoolInUse { .. })
    );
    apply(&mut state, vec![moving(0, "spare")]).unwrap();
    let assign = FleetChange::AssignInstance {
        name: name(0),
        pool: PoolName::new("spare"),
    };
    apply(&mut state, vec![assign, remove]).unwrap();
    assert!(state.closing.is_empty());
}

/// Guards against unbounded growth of the state and against implausible sizes and names.
#[test]
fn counts_limited() {
    let mut state = fleet(&[("spare", 1, 1, 1)]);
    let put = |number: usize| FleetChange::PutPool {
        name: PoolName::new(format!("p{number}")),
        pool: pool(1, 1),
    };
    let many = (1..ApplyLimits::POOLS).map(put).collect();
    apply(&mut state, many).unwrap();
    let before = state.clone();
    assert_matches!(
        apply(&mut state, vec![put(ApplyLimits::POOLS)]),
        Err(ApplyError::TooMany { .. })
    );
    let mut oversized = instance("spare", 1);
    oversized.slots = ApplyLimits::SLOTS + 1;
    let (name, instance) = (name(1), oversized);
    for change in [
        FleetChange::PutInstance { name, instance },
        put_team(&"x".repeat(ApplyLimits::NAME_BYTES + 1)),
    ] {
        let result = apply(&mut state, vec![change]);
        assert_matches!(result, Err(ApplyError::InvalidValue { .. }));
    }
    assert_eq!(state, before);
}
