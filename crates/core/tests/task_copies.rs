//! Speculative copies of tasks.
//!
//! Load pattern: a worker is lost while it runs tasks that allow copies.

mod jobs;

use jobs::{JobWorld, job, step};
use sesamedeal_core::jobs::JobPhase;

fn world(allows_copies: bool) -> JobWorld {
    let mut world = JobWorld::new(3, 1);
    let mut speculative = step(2, 1_000);
    speculative.allows_copies = allows_copies;
    world.submit(1, job(vec![speculative]));
    world.run(2);
    world
}

fn cut_off_busy(world: &mut JobWorld) {
    let busy = world.busy_worker();
    world.workers[busy].is_reachable = false;
}

/// Guards against jobs that wait for the lease of a lost worker although their tasks allow copies.
#[test]
fn lost_worker() {
    let mut world = world(true);
    cut_off_busy(&mut world);
    world.run(40);
    let id = *world.stored.keys().next().unwrap();
    assert_eq!(world.phase(id), JobPhase::Finished, "waits for the lease");
}

/// Guards against copies of tasks that must not run twice.
#[test]
fn copies_forbidden() {
    let mut world = world(false);
    let starts = world.starts;
    cut_off_busy(&mut world);
    world.run(40);
    assert_eq!(world.starts, starts);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against copying every task of a step whose estimate is far too short: the copies
/// displaced other jobs at the peak of a surge, and nearly all of them were stopped before they
/// ended.
#[test]
fn short_estimate() {
    let mut world = JobWorld::new(4, 1);
    let mut speculative = step(12, 1_000);
    speculative.allows_copies = true;
    speculative.estimate = std::time::Duration::from_millis(20);
    world.submit(1, job(vec![speculative]));
    world.run(40);
    assert_eq!(world.starts, 12);
}

/// Guards against copies of tasks that run normally.
#[test]
fn healthy_tasks() {
    let mut world = world(true);
    world.run(40);
    assert_eq!(world.starts, 2);
}
