//! Phases of jobs whose gangs wait for room.

mod jobs;

use jobs::{JobWorld, job, step};
use sesamedeal_core::jobs::{JobId, JobPhase};

/// Submits a gang of three tasks, of which `workers` workers have room for one each.
fn world(workers: usize) -> (JobWorld, JobId) {
    let mut world = JobWorld::new(workers, 1);
    world.run(2);
    let mut spec = step(3, 8_000);
    spec.is_gang = true;
    let id = world.submit(1, job(vec![spec]));
    (world, id)
}

/// Guards against a gang that is shown as running, and not counted as waiting, because some of its
/// tasks would have found room; also under a later owner.
#[test]
fn waiting_gang() {
    let (mut world, id) = world(2);
    world.run(20);
    for _ in 0..2 {
        assert_eq!(world.starts, 0);
        assert_eq!(world.dispatcher.phase(id), Some(JobPhase::Queued));
        assert_eq!(world.pending(), 1);
        world.take_over();
        world.run(160);
    }
}

/// Guards against a gang that is not shown as running while it runs.
#[test]
fn started_gang() {
    let (mut world, id) = world(3);
    world.run(1);
    assert_eq!(world.starts, 3);
    assert_eq!(world.dispatcher.phase(id), Some(JobPhase::Running));
    assert_eq!(world.pending(), 0);
}
