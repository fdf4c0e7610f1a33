//! Load pattern: the demand turns from pool to pool.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{
    FleetSize, PoolLoad, PoolState, ScalingPlanner, ScalingPolicy, SizeChange,
};
use sesamedeal_core::time::TimePoint;

/// Processor of an instance, in thousandths of a core.
const CAPACITY: u64 = 32_000;

fn pool(name: &str) -> PoolName {
    PoolName::new(name)
}

fn size(instances: usize, idle: usize, batch: u64, waiting: u64) -> PoolState {
    PoolState {
        load: PoolLoad {
            workers: instances,
            usable: instances,
            capacity: CAPACITY * instances as u64,
            batch,
            waiting,
            backlog: waiting,
            arrivals: usize::from(waiting > 0) * 10,
            ..PoolLoad::default()
        },
        instances,
        idle,
    }
}

fn decide(
    sizing: &mut ScalingPlanner,
    sizes: &[(&str, PoolState)],
    spare: usize,
    seconds: u64,
) -> Vec<SizeChange> {
    let sizes: BTreeMap<PoolName, PoolState> = sizes
        .iter()
        .map(|(name, size)| (pool(name), *size))
        .collect();
    let now = TimePoint::with_millis(100_000 + seconds * 1_000);
    let total = spare + sizes.values().map(|size| size.instances).sum::<usize>();
    let fleet = FleetSize {
        spare,
        total,
        capacity: CAPACITY,
    };
    sizing.decide(&sizes, fleet, now)
}

fn moved(changes: &[SizeChange], to: Option<&str>) -> usize {
    let to = to.map(pool);
    let changes = changes.iter().filter(|change| change.to == to);
    changes.map(|change| change.count).sum()
}

/// Guards against callers that wait in a pool that surges while instances are idle elsewhere.
#[test]
fn surge_grows() {
    let mut sizing = ScalingPlanner::new(ScalingPolicy::default());
    let sizes = [
        ("a", size(9, 0, 280_000, 300_000)),
        ("b", size(9, 9, 0, 0)),
        ("c", size(9, 9, 0, 0)),
    ];
    let changes = decide(&mut sizing, &sizes, 8, 0);
    assert!(moved(&changes, Some("a")) >= 10, "{changes:?}");
}

/// Guards against a pool that starves beside idle ones after a takeover: each kept the size that it
/// happened to have.
#[test]
fn kept_instances_help() {
    let mut sizing = ScalingPlanner::new(ScalingPolicy::default());
    let sizes = [
        ("a", size(4, 0, 100_000, 400_000)),
        ("b", size(31, 31, 0, 0)),
    ];
    let changes = decide(&mut sizing, &sizes, 0, 0);
    assert!(moved(&changes, Some("a")) >= 15, "{changes:?}");
}

/// Guards against pools that are paid for although their turn has just passed.
#[test]
fn passed_turn_shrinks() {
    let mut sizing = ScalingPlanner::new(ScalingPolicy::default());
    let surge = [("a", size(20, 0, 600_000, 0)), ("b", size(9, 9, 0, 0))];
    decide(&mut sizing, &surge, 0, 0);
    let idle = [("a", size(20, 20, 0, 0)), ("b", size(9, 9, 0, 0))];
    let soon = decide(&mut sizing, &idle, 0, 1);
    assert_eq!(
        moved(&soon, None),
        0,
        "shrinks before its peak is forgotten"
    );
    let later = decide(&mut sizing, &idle, 0, 5);
    assert_eq!(moved(&later, None), 17, "{later:?}");
}

/// Guards against a turn that begins with a pool at its least size: it is refilled before.
#[test]
fn next_turn_refills() {
    let mut sizing = ScalingPlanner::new(ScalingPolicy::default());
    let surge = [("a", size(9, 0, 280_000, 0)), ("b", size(3, 3, 0, 0))];
    let changes = decide(&mut sizing, &surge, 18, 0);
    assert_eq!(moved(&changes, Some("b")), 7, "{changes:?}");
}

/// Guards against a new owner that takes every pool for one whose turn is to come.
#[test]
fn surges_survive() {
    let now = TimePoint::with_millis(100_000);
    let known = [
        (pool("a"), Duration::from_secs(20)),
        (pool("b"), Duration::from_secs(10)),
        (pool("c"), Duration::from_secs(3)),
    ];
    let mut sizing = ScalingPlanner::new(ScalingPolicy::default()).with_surges(&known, now);
    assert_eq!(sizing.surges(now), known);
    let sizes = [
        ("a", size(12, 12, 0, 0)),
        ("b", size(12, 12, 0, 0)),
        ("c", size(12, 12, 0, 0)),
    ];
    let first = decide(&mut sizing, &sizes, 0, 0);
    assert_eq!(moved(&first, None), 0, "{first:?}");
    let later = decide(&mut sizing, &sizes, 0, 3);
    assert_eq!(moved(&later, None), 3 + 9 + 9, "{later:?}");
}

/// Guards against a new owner that switches off what the next surge needs: it knows no peaks yet,
/// and an instance takes two moves to come back.
#[test]
fn takeover_keeps() {
    let mut sizing = ScalingPlanner::new(ScalingPolicy::default());
    let sizes = [("a", size(30, 21, 250_000, 0)), ("b", size(9, 9, 0, 0))];
    let changes = decide(&mut sizing, &sizes, 0, 0);
    assert_eq!(moved(&changes, None), 0, "{changes:?}");
    let surging = [
        ("a", size(30, 21, 250_000, 0)),
        ("b", size(9, 0, 280_000, 300_000)),
    ];
    let changes = decide(&mut sizing, &surging, 0, 1);
    assert!(moved(&changes, Some("b")) >= 10, "{changes:?}");
}

/// Guards against a surge that shows only once tasks wait.
#[test]
fn arrivals_count() {
    let mut sizing = ScalingPlanner::new(ScalingPolicy::default());
    let mut surging = size(9, 9, 0, 0);
    surging.load.arriving = 500_000;
    surging.load.arrivals = 10;
    let changes = decide(&mut sizing, &[("a", surging)], 20, 0);
    assert!(moved(&changes, Some("a")) >= 10, "{changes:?}");
}

/// Guards against lasting tasks that wait for ever in a small pool whose other workers are being
/// emptied: processor is free, but none of it on a worker that takes them, and the workers cannot be
/// emptied while the tasks are away.
#[test]
fn lasting_tasks_wait() {
    let mut sizing = ScalingPlanner::new(ScalingPolicy::default());
    let mut stuck = size(4, 0, 0, 3_000);
    stuck.load.waiting_long_running = 1;
    let spare = 5;
    let changes = decide(
        &mut sizing,
        &[("a", stuck), ("b", size(9, 9, 0, 0))],
        spare,
        0,
    );
    assert_eq!(moved(&changes, Some("a")), 1, "{changes:?}");
    let mut large = size(9, 0, 0, 3_000);
    large.load.waiting_long_running = 1;
    let changes = decide(&mut sizing, &[("a", large), ("b", size(9, 9, 0, 0))], 0, 5);
    assert_eq!(
        moved(&changes, Some("a")),
        0,
        "grows without end: {changes:?}"
    );
}
