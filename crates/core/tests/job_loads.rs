//! The load of a pool as computed by the dispatcher.

mod jobs;

use std::time::Duration;

use jobs::{JobWorld, at, job, step};
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::PoolLoad;

fn load(world: &JobWorld) -> PoolLoad {
    world.dispatcher.pool_loads(at(world.now))[&PoolName::new("pool")]
}

/// Guards against sizing a pool by estimates that are half of the actual run times of its tasks.
#[test]
fn estimate_correction() {
    let mut world = JobWorld::new(40, 1);
    let mut underestimated = step(8, 4_000);
    underestimated.estimate = Duration::from_millis(100);
    for id in 0..60 {
        world.submit(id, job(vec![underestimated.clone()]));
        world.run(10);
    }
    let ended = world.starts;
    assert!(ended > 300, "{ended} starts");
    world.submit(100, job(vec![underestimated]));
    let declared = 8 * 4_000 / 10;
    let arriving = load(&world).arriving;
    assert!(arriving > declared * 3 / 2, "{arriving} of {declared}");
}

/// Guards against a surge that is detected a second late, by checking that recent arrivals are also
/// reported over a shorter window.
#[test]
fn surge_onset() {
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
