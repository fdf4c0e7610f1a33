//! Workers that answer nothing while a hold call to them is on its way.

mod jobs;

use jobs::{JobWorld, job, step};
use sesamedeal_core::jobs::JobPhase;

/// Rounds in a second.
const SECOND: usize = 20;

/// A world of two workers, the first of which answers nothing, while no hold call to it has failed
/// yet. It has not answered the start of the first job.
fn world() -> JobWorld {
    let mut world = JobWorld::new(2, 3);
    world.run(2);
    world.workers[0].is_hanging = true;
    world.workers[0].is_reachable = false;
    world.submit(0, job(vec![step(1, 1_000)]));
    world.run(2);
    assert_eq!(running(&world), 0, "the first worker was chosen");
    world
}

fn running(world: &JobWorld) -> usize {
    world
        .workers
        .iter()
        .map(|worker| worker.tasks().len())
        .sum()
}

/// Guards against starts on a worker that is gone, one after the other until the hold call fails: each
/// extends the time for which the tasks wait that may run there.
#[test]
fn no_further_start() {
    let mut world = world();
    for id in 1..6 {
        let id = world.submit(id, job(vec![step(1, 1_000)]));
        world.run(2 * SECOND);
        assert_eq!(world.phase(id), JobPhase::Finished);
    }
    assert!(world.violations.is_empty(), "{:#?}", world.violations);
}

/// Guards against a worker that stays unused although it answers again.
#[test]
fn answered_hold() {
    let mut world = world();
    world.workers[0].is_hanging = false;
    world.workers[0].is_reachable = true;
    world.workers[1].is_reachable = false;
    let id = world.submit(1, job(vec![step(1, 1_000)]));
    world.run(2 * SECOND);
    assert_eq!(world.phase(id), JobPhase::Finished);
}
