//! Controller: synchronisation with the platform's list, moves, quarantine, snapshots and cleanup.

mod support;

use sesamedeal_core::control::{ControlNote, ControlPolicy, HealthReport, HealthVerdict};
use sesamedeal_core::fleet::{FleetChange, InstanceState};
use sesamedeal_core::ids::{Generation, PoolName};
use sesamedeal_core::membership::{ListState, SessionState};
use support::world::{World, active, backend};
use support::{fleet, instance, name, pool};

fn world(pools: &[(&str, u32, u32, u32)]) -> World {
    let mut world = World::new(fleet(pools), ControlPolicy::new(), 3);
    world.run(5);
    world
}

fn put_pool(world: &mut World, pool_name: &str, size: u32, budget: u32) {
    let name = PoolName::new(pool_name);
    let pool = pool(size, budget);
    world.write(vec![FleetChange::PutPool { name, pool }]);
}

fn report(number: u32, verdict: HealthVerdict, applied: Generation) -> HealthReport {
    HealthReport {
        instance: name(number),
        verdict,
        applied,
    }
}

/// Guards against a move that completes while an entry instance still uses the instance.
#[test]
fn move_settles() {
    let mut world = world(&[("a", 4, 1, 4), ("b", 2, 1, 2), ("spare", 0, 1, 0)]);
    put_pool(&mut world, "a", 3, 1);
    put_pool(&mut world, "b", 3, 1);
    world.step();
    let moving = world
        .state
        .instances
        .values()
        .find(|instance| matches!(instance.state, InstanceState::Moving { .. }))
        .unwrap();
    let since = moving.since;
    for _ in 0..60 {
        world.millis += 1_000;
        // The first entry instance still runs a task on the moving instance.
        for session in &mut world.sessions[1..] {
            session.quiesced = world.state.generation;
        }
        world.step();
        assert_eq!(active(&world, "b"), 2);
        assert!(world.settled < since);
    }
    world.sessions[0].quiesced = world.state.generation;
    world.step();
    assert_eq!(active(&world, "b"), 3);
}

/// Guards against a generation that settles although not all session rows were read: a session
/// that has just started may act under an older generation.
#[test]
fn settling_scans() {
    let mut world = world(&[("a", 4, 1, 4), ("spare", 0, 1, 0)]);
    put_pool(&mut world, "a", 3, 1);
    let before = world.settled;
    world.is_scanned = false;
    world.run(10);
    assert_eq!(world.settled, before);
    world.is_scanned = true;
    world.run(1);
    assert!(world.settled > before);
}

/// Guards against a failed instance that is not replaced from the spare pool, an instance that
/// stays failed after it returns, and a new instance that is registered outside the spare pool.
#[test]
fn failure_replaced() {
    let mut world = world(&[("a", 4, 1, 4), ("spare", 2, 2, 2)]);
    world.lose(&name(0));
    world.run(2);
    assert_eq!(active(&world, "a"), 4, "shorter than the grace");
    world.run_until(20, |world| {
        active(world, "a") == 4 && active(world, "spare") == 1
    });
    assert_eq!(world.state.instances[&name(0)].state, InstanceState::Failed);
    let entry = backend(&name(90), &instance("a", 90));
    world.list.push(entry);
    world.run(1);
    assert_eq!(world.state.instances[&name(90)].pool.as_str(), "spare");
    world.repair(&name(0));
    world.run(3);
    assert!(world.state.instances[&name(0)].state.is_active());
}

/// Guards against the removal of an instance that an entry instance may still use, and against a
/// replaced instance that is never removed.
#[test]
fn replaced_removed() {
    let mut world = world(&[("a", 4, 1, 4), ("spare", 2, 2, 2)]);
    let at = world
        .list
        .iter()
        .position(|entry| entry.name == name(0))
        .unwrap();
    world.list[at].state = ListState::Leaving;
    world.run(1);
    assert_eq!(world.state.instances[&name(0)].state, InstanceState::Failed);
    world.lose(&name(0));
    world.run(19);
    assert!(world.state.instances.contains_key(&name(0)));
    world.run(5);
    assert!(!world.state.instances.contains_key(&name(0)));
}

/// Guards against the removal of an instance whose failure is not settled: it could come back in
/// the spare pool while an entry instance still uses it for its old pool.
#[test]
fn removal_settles() {
    let mut world = world(&[("a", 4, 1, 4), ("spare", 2, 2, 2)]);
    let held = world.sessions[0].quiesced;
    world.lose(&name(0));
    for _ in 0..700 {
        world.step();
        world.pass(1_000);
        world.sessions[0].quiesced = held;
    }
    assert_eq!(world.state.instances[&name(0)].state, InstanceState::Failed);
    world.run(3);
    assert!(!world.state.instances.contains_key(&name(0)));
}

/// Guards against an empty or missing list that marks the whole fleet as failed, settles a
/// generation or allows planned actions to start.
#[test]
fn list_unavailable() {
    let mut world = world(&[("a", 4, 1, 4), ("spare", 2, 2, 2)]);
    put_pool(&mut world, "a", 5, 1);
    let before = (world.state.clone(), world.settled);
    let list = std::mem::take(&mut world.list);
    for _ in 0..60 {
        let step = world.step();
        assert!(step.notes.contains(&ControlNote::ListUnavailable));
        world.pass(1_000);
    }
    assert_eq!((world.state.clone(), world.settled), before);
    world.list = list;
    world.run(5);
    assert_eq!(active(&world, "a"), 5);
}

/// Guards against quarantine beyond the budget, and against actions on reports about an earlier
/// state of the worker.
#[test]
fn quarantine_bounded() {
    let mut world = world(&[("a", 4, 1, 4), ("spare", 0, 1, 0)]);
    let applied = world.state.generation;
    world.health = vec![
        report(0, HealthVerdict::Quarantine, applied),
        report(1, HealthVerdict::Quarantine, applied),
    ];
    let step = world.step();
    assert_eq!(
        world.state.instances[&name(0)].state,
        InstanceState::Quarantined
    );
    assert!(world.state.instances[&name(1)].state.is_active());
    assert!(
        step.notes
            .contains(&ControlNote::QuarantineDeferred(name(1)))
    );
    world.health = vec![report(0, HealthVerdict::Release, applied)];
    world.step();
    assert_eq!(
        world.state.instances[&name(0)].state,
        InstanceState::Quarantined,
        "the report is from before the quarantine"
    );
    world.health = vec![report(0, HealthVerdict::Release, world.state.generation)];
    world.step();
    assert!(world.state.instances[&name(0)].state.is_active());
    world.health = vec![report(0, HealthVerdict::Quarantine, applied)];
    world.step();
    assert!(
        world.state.instances[&name(0)].state.is_active(),
        "an old report"
    );
}

/// Guards against a closing pool that keeps its instances or is never removed.
#[test]
fn closed_pool_empties() {
    let mut world = world(&[("a", 4, 2, 4), ("b", 3, 1, 3), ("spare", 1, 2, 1)]);
    let a = PoolName::new("a");
    world.write(vec![FleetChange::ClosePool { name: a.clone() }]);
    world.run_until(60, |world| !world.state.pools.contains_key(&a));
    // The plan chooses the target pools; no instance is lost and the reserve is kept.
    assert_eq!(active(&world, "b") + active(&world, "spare"), 8);
    assert!(active(&world, "spare") >= 1);
}

/// Guards against snapshots and cleanups that are too late or too frequent, and cleanups that
/// remove rows that are still needed.
#[test]
fn housekeeping_due() {
    let mut world = world(&[("a", 2, 1, 2), ("spare", 0, 1, 0)]);
    world.sessions[2].state = SessionState::Left;
    world.run(60);
    let cleanups: Vec<_> = (0..120)
        .filter_map(|_| {
            let step = world.step();
            world.pass(1_000);
            step.cleanup
        })
        .collect();
    assert_eq!(cleanups.len(), 2);
    assert_eq!(cleanups[0].sessions, [world.sessions[2].session]);
    assert_eq!(cleanups[0].changes_below, Generation::ZERO);
    world.log.snapshot = Generation(1_000);
    world.state.generation = Generation(1_255);
    assert!(!world.step().snapshot_due);
    world.state.generation = Generation(1_256);
    let step = world.step();
    assert!(step.snapshot_due);
    world.millis += 60_000;
    assert_eq!(world.step().cleanup.unwrap().changes_below, Generation(488));
}
