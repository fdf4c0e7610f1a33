//! Load pattern: demand surges rotate among the pools.

use std::collections::BTreeMap;
use std::time::Duration;

use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{
    FleetSize, PoolLoad, PoolState, ScalingPlanner, ScalingPolicy, SizeChange,
};
use sesamedeal_core::time::TimePoint;

/// CPU of an instance, in thousandths of a core.
const CAPACITY: u64 = 32_000;

fn pool(name: &str) -> PoolName {
    PoolName::new(name)
}

fn state(instances: usize, idle: usize, batch: u64, waiting: u64) -> PoolState {
    PoolState {
        load: PoolLoad {
            workers: instances,
            usable: instances,
            capacity: CAPACITY * instances as u64,
            batch,
            waiting,
            expected: batch + waiting,
            ..PoolLoad::default()
        },
        instances,
        idle,
    }
}

fn decide(
    planner: &mut ScalingPlanner,
    states: &[(&str, PoolState)],
    spare: usize,
    seconds: u64,
) -> Vec<SizeChange> {
    let states: BTreeMap<PoolName, PoolState> = states
        .iter()
        .map(|(name, state)| (pool(name), *state))
        .collect();
    let now = TimePoint::with_millis(100_000 + seconds * 1_000);
    let total = spare + states.values().map(|state| state.instances).sum::<usize>();
    let fleet = FleetSize {
        spare,
        total,
        capacity: CAPACITY,
    };
    planner.decide(&states, fleet, now)
}

fn moved(changes: &[SizeChange], to: Option<&str>) -> usize {
    let to = to.map(pool);
    let changes = changes.iter().filter(|change| change.to == to);
    changes.map(|change| change.count).sum()
}

/// Guards against jobs that wait in a surging pool while instances in other pools are idle.
#[test]
fn surge_grows() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    let states = [
        ("a", state(9, 0, 280_000, 300_000)),
        ("b", state(9, 9, 0, 0)),
        ("c", state(9, 9, 0, 0)),
    ];
    let changes = decide(&mut planner, &states, 8, 0);
    assert!(moved(&changes, Some("a")) >= 10, "{changes:?}");
}

/// Guards against a pool without enough instances next to idle pools after a takeover, when every
/// pool held its current size in reserve.
#[test]
fn reserve_is_used() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    let states = [
        ("a", state(4, 0, 100_000, 400_000)),
        ("b", state(31, 31, 0, 0)),
    ];
    let changes = decide(&mut planner, &states, 0, 0);
    // 16 instances have 500 cores.
    assert!(moved(&changes, Some("a")) >= 12, "{changes:?}");
}

/// Guards against instances that stay in a pool, at a cost, after its surge has ended.
#[test]
fn ended_surge_shrinks() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    let surge = [("a", state(20, 0, 600_000, 0)), ("b", state(9, 9, 0, 0))];
    decide(&mut planner, &surge, 0, 0);
    let idle = [("a", state(20, 20, 0, 0)), ("b", state(9, 9, 0, 0))];
    let soon = decide(&mut planner, &idle, 0, 1);
    assert_eq!(
        moved(&soon, None),
        0,
        "shrinks before its peak is forgotten"
    );
    let later = decide(&mut planner, &idle, 0, 5);
    assert_eq!(moved(&later, None), 17 + 6, "{later:?}");
}

/// Plays a surge of pool `a` that needs 22 instances, beside two quiet pools.
fn surge_of_a(planner: &mut ScalingPlanner) {
    let quiet = state(3, 3, 0, 0);
    let states = |first| [("a", first), ("b", quiet), ("c", quiet)];
    decide(planner, &states(state(24, 0, 640_000, 0)), 30, 0);
    decide(planner, &states(state(24, 0, 640_000, 0)), 30, 1);
    decide(planner, &states(state(24, 20, 32_000, 0)), 30, 5);
}

/// Guards against a surge that finds its pool at the minimum size although surges rotate among the
/// pools: jobs would wait as long as an instance takes to move.
#[test]
fn reserve_before_surge() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    surge_of_a(&mut planner);
    let quiet = state(3, 3, 0, 0);
    let states = [("a", state(24, 20, 32_000, 0)), ("b", quiet), ("c", quiet)];
    let changes = decide(&mut planner, &states, 30, 6);
    // The pool that has just had its surge gets none, and the others a part of what it needed.
    assert_eq!(moved(&changes, Some("a")), 0, "{changes:?}");
    for pool in ["b", "c"] {
        let count = moved(&changes, Some(pool));
        assert!(count > 0 && count < 22 / 2, "{changes:?}");
    }
}

/// Guards against jobs that wait because a surge rises faster than the forecast of it: its pool gets
/// about as many instances as a usual surge needs when it starts.
#[test]
fn usual_surge() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    surge_of_a(&mut planner);
    let quiet = state(3, 3, 0, 0);
    // 9 instances have 288 cores; a third of the usual surge.
    let onset = state(9, 0, 250_000, 0);
    let states = [("a", quiet), ("b", onset), ("c", quiet)];
    let changes = decide(&mut planner, &states, 20, 7);
    assert!(moved(&changes, Some("b")) >= 22 * 9 / 10 - 9, "{changes:?}");
    // It was no usual surge.
    let states = [("a", quiet), ("b", state(20, 11, 250_000, 0)), ("c", quiet)];
    let changes = decide(&mut planner, &states, 9, 10);
    assert_eq!(moved(&changes, Some("b")), 0, "{changes:?}");
}

/// Guards against jobs that wait in a pool although others hold instances in reserve.
#[test]
fn reserve_is_lent() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    let quiet = state(20, 20, 0, 0);
    let surging = state(20, 0, 640_000, 960_000);
    let states = [("a", surging), ("b", quiet), ("c", quiet)];
    // 50 instances have 1,600 cores. Each quiet pool holds 7 in reserve, half of an equal share, of
    // which 3 may not leave it.
    let changes = decide(&mut planner, &states, 0, 0);
    assert!(moved(&changes, Some("a")) >= 2 * (20 - 3), "{changes:?}");
}

/// Guards against a new owner that treats every pool as likely to surge next because it does not
/// take over the times of past surges.
#[test]
fn surges_survive() {
    let now = TimePoint::with_millis(100_000);
    let known = [
        (pool("a"), Duration::from_secs(20)),
        (pool("b"), Duration::from_secs(10)),
        (pool("c"), Duration::from_secs(3)),
    ];
    let mut planner = ScalingPlanner::new(ScalingPolicy::default()).with_surges(&known, now);
    assert_eq!(planner.surges(now), known);
    let quiet = |instances| state(instances, instances, 0, 0);
    let states = [("a", quiet(3)), ("b", quiet(3)), ("c", quiet(12))];
    let soon = decide(&mut planner, &states, 60, 5);
    assert!(moved(&soon, Some("a")) > 0, "{soon:?}");
    assert_eq!(moved(&soon, Some("b")), 0, "{soon:?}");
}

/// Guards against a new owner that switches off instances that the next surge needs: it has no
/// record of earlier peaks, and switching an instance back on takes two moves in total.
#[test]
fn takeover_keeps_instances() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    let states = [("a", state(30, 21, 250_000, 0)), ("b", state(9, 9, 0, 0))];
    let changes = decide(&mut planner, &states, 0, 0);
    assert_eq!(moved(&changes, None), 0, "{changes:?}");
    let surging = [
        ("a", state(30, 21, 250_000, 0)),
        ("b", state(9, 0, 280_000, 300_000)),
    ];
    let changes = decide(&mut planner, &surging, 0, 1);
    assert!(moved(&changes, Some("b")) >= 10, "{changes:?}");
}

/// Guards against a surge that is detected only once tasks wait, instead of by its arrivals.
#[test]
fn arrivals_start_surge() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    let mut surging = state(9, 9, 0, 0);
    surging.load.expected = 500_000;
    let changes = decide(&mut planner, &[("a", surging)], 20, 0);
    // 16 instances have 500 cores.
    assert!(moved(&changes, Some("a")) >= 7, "{changes:?}");
}

/// Guards against a deadlock in a small pool whose other workers are being evacuated: long-running
/// tasks wait because the free CPU is on workers that accept no tasks, and the evacuation waits
/// until the tasks run again.
#[test]
fn waiting_long_running() {
    let now = TimePoint::with_millis(100_000);
    // Pool `a` is not the next to surge and holds no reserve.
    let surges = [
        (pool("a"), Duration::from_secs(5)),
        (pool("b"), Duration::from_secs(9)),
    ];
    let mut planner = ScalingPlanner::new(ScalingPolicy::default()).with_surges(&surges, now);
    let mut stuck = state(4, 0, 0, 3_000);
    stuck.load.waiting_long_running = 1;
    let spare = 5;
    let changes = decide(
        &mut planner,
        &[("a", stuck), ("b", state(9, 9, 0, 0))],
        spare,
        0,
    );
    assert_eq!(moved(&changes, Some("a")), 1, "{changes:?}");
    let mut large = state(9, 0, 0, 3_000);
    large.load.waiting_long_running = 1;
    let changes = decide(
        &mut planner,
        &[("a", large), ("b", state(9, 9, 0, 0))],
        0,
        5,
    );
    assert_eq!(
        moved(&changes, Some("a")),
        0,
        "grows without limit: {changes:?}"
    );
}

/// Guards against tasks that wait in a small pool while instances of another one run nothing for
/// seconds, because more work is expected there than comes.
#[test]
fn idle_is_lent() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    let mut expecting = state(30, 10, 600_000, 0);
    expecting.load.expected = 1_500_000;
    let mut short = state(4, 0, 128_000, 100_000);
    short.load.waiting_tasks = 20;
    let states = [("a", expecting), ("b", short)];
    let first = decide(&mut planner, &states, 0, 0);
    assert_eq!(moved(&first, Some("b")), 0, "not idle for long yet");
    decide(&mut planner, &states, 0, 1);
    let later = decide(&mut planner, &states, 0, 2);
    assert!(moved(&later, Some("b")) >= 3, "{later:?}");
    assert_eq!(moved(&later, Some("a")), 0, "{later:?}");
}

/// Guards against idle instances that leave a pool in which tasks wait, for a label or a team's limit.
#[test]
fn waiting_keeps_idle() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    let mut expecting = state(30, 10, 600_000, 50_000);
    expecting.load.expected = 1_000_000;
    expecting.load.waiting_tasks = 5;
    let states = [("a", expecting), ("b", state(4, 0, 128_000, 100_000))];
    for second in 0..4 {
        let changes = decide(&mut planner, &states, 0, second);
        assert_eq!(moved(&changes, Some("b")), 0, "{changes:?}");
    }
}

/// Guards against a first surge of a day that meets pools at their reserve and grows only as fast as
/// the forecast, since no surge has shown its size yet.
#[test]
fn first_surge() {
    let mut planner = ScalingPlanner::new(ScalingPolicy::default());
    let quiet = state(6, 6, 0, 0);
    let states = [
        ("a", state(6, 0, 192_000, 80_000)),
        ("b", quiet),
        ("c", quiet),
    ];
    let changes = decide(&mut planner, &states, 30, 0);
    assert!(moved(&changes, Some("a")) >= 6, "{changes:?}");
}
