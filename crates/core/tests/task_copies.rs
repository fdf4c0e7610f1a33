//! Load pattern: a lost worker while tasks run that may be copied.

mod jobs;

use jobs::{JobWorld, job, step};
use sesamedeal_core::jobs::JobPhase;

fn world(allows_copies: bool) -> JobWorld {
    let mut world = JobWorld::new(3, 1);
    let mut copied = step(2, 1_000);
    copied.allows_copies = allows_copies;
    world.submit(1, job(vec![copied]));
    world.run(2);
    world
}

fn lose_busy(world: &mut JobWorld) {
    let busy = world.busy_worker();
    world.workers[busy].is_reachable = false;
}

/// Guards against jobs that wait for the lease of a lost worker although their tasks may be copied.
#[test]
fn lost_worker() {
    let mut world = world(true);
    lose_busy(&mut world);
    world.run(40);
    let id = *world.stored.keys().next().unwrap();
    assert_eq!(world.phase(id), JobPhase::Finished, "waits for the lease");
}

/// Guards against copies of tasks that must not run twice.
#[test]
fn not_allowed() {
    let mut world = world(false);
    let starts = world.starts;
    lose_busy(&mut world);
    world.run(40);
    assert_eq!(world.starts, starts);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a copy of each task of a step whose estimate is far too short: the copies took the
/// room of other jobs at the peak of a surge, and nearly all of them were stopped unfinished.
#[test]
fn short_estimate() {
    let mut world = JobWorld::new(4, 1);
    let mut copied = step(12, 1_000);
    copied.allows_copies = true;
    copied.estimate = std::time::Duration::from_millis(20);
    world.submit(1, job(vec![copied]));
    world.run(40);
    assert_eq!(world.starts, 12);
}

/// Guards against copies of tasks that run as they should.
#[test]
fn none_needed() {
    let mut world = world(true);
    world.run(40);
    assert_eq!(world.starts, 2);
}
