//! What the dispatcher says of the load of a pool.

mod jobs;

use std::time::Duration;

use jobs::{JobWorld, at, job, step};
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::PoolLoad;

fn load(world: &JobWorld) -> PoolLoad {
    world.dispatcher.pool_loads(at(world.now))[&PoolName::new("pool")]
}

/// Guards against a pool that is sized by estimates of half the time that its tasks run.
#[test]
fn learns_run_times() {
    let mut world = JobWorld::new(40, 1);
    let mut short = step(8, 4_000);
    short.estimate = Duration::from_millis(100);
    for id in 0..60 {
        world.submit(id, job(vec![short.clone()]));
        world.run(10);
    }
    let ended = world.starts;
    assert!(ended > 300, "{ended} starts");
    world.submit(100, job(vec![short]));
    let declared = 8 * 4_000 / 10;
    let arriving = load(&world).arriving;
    assert!(arriving > declared * 3 / 2, "{arriving} of {declared}");
}

/// Guards against a surge that is seen a second late: the arrivals of the last moments count by
/// themselves.
#[test]
fn sees_onset() {
    let mut world = JobWorld::new(4, 1);
    world.run(10);
    world.submit(1, job(vec![step(4, 1_000)]));
    world.run(2);
    let seen = load(&world);
    assert_eq!(seen.arriving, 2_000);
    assert_eq!(seen.arriving_now, 5_000);
    world.run(8);
    let seen = load(&world);
    assert_eq!(seen.arriving_now, 0, "{seen:?}");
    assert!(seen.arriving > 1_900, "{seen:?}");
}
