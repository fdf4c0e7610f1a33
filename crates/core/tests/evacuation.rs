//! Evacuation of workers whose instances move or go into maintenance.

mod jobs;

use jobs::{JobWorld, job, step};
use sesamedeal_core::jobs::JobPhase;

/// Guards against a worker that never gets tasks again because the list did not have it when its
/// evacuation ended.
#[test]
fn unlisted_worker() {
    let mut world = JobWorld::new(1, 1);
    world.run(2);
    let name = world.workers[0].report.name.clone();
    world.dispatcher.set_evacuating(&name, true);
    let id = world.submit(1, job(vec![step(2, 1_000)]));
    world.run(10);
    assert_eq!(world.starts, 0, "started on a worker that is evacuated");
    world.dispatcher.unlist_worker(&name);
    world.dispatcher.set_evacuating(&name, false);
    world.list_workers();
    world.run(40);
    assert_eq!(world.phase(id), JobPhase::Finished);
}
