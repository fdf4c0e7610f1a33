//! Leases of workers, unanswered starts and the limits of teams.

mod jobs;

use jobs::{JobWorld, WorldFaults, amount, job, rules, step};
use sesamedeal_core::jobs::JobPhase;

/// Guards against tasks that are never restarted when their worker stops answering: the unanswered
/// calls kept extending the recorded lease.
#[test]
fn lost_worker() {
    let mut world = JobWorld::new(2, 1);
    let mut long_running = step(2, 500);
    long_running.is_lasting = true;
    world.submit(1, job(vec![long_running]));
    world.run(10);
    let lost = world.busy_worker();
    world.workers[lost].is_reachable = false;
    world.run(60);
    assert_eq!(world.starts, 2, "started while the lease may last");
    world.run(60);
    assert_eq!(world.starts, 4, "not started after the lease");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against errors with runs that exist although their start had no answer.
#[test]
fn unanswered_start() {
    let faults = WorldFaults {
        lost_starts: 0.5,
        ..WorldFaults::default()
    };
    let mut world = JobWorld::new(2, 5).with_faults(faults);
    let id = world.submit(1, job(vec![step(8, 1_000)]));
    world.run(200);
    assert_eq!(world.phase(id), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a team whose running tasks exceed its limit.
#[test]
fn team_limit() {
    let mut world = JobWorld::with_rules(4, 1, rules(amount(3_000, 0)));
    let id = world.submit(1, job(vec![step(12, 1_000)]));
    for _ in 0..120 {
        world.round();
        let running: usize = world
            .workers
            .iter()
            .map(|worker| worker.tasks().len())
            .sum();
        assert!(
            running <= 3,
            "{running} tasks of one core under a limit of three"
        );
    }
    assert_eq!(world.phase(id), JobPhase::Finished);
}
