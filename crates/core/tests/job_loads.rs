//! Load pattern: demand that rises faster than instances can move between pools. The dispatcher
//! forecasts the load of a pool for the time at which an instance ordered now arrives.

mod jobs;

use std::time::Duration;

use jobs::{JobWorld, at, job, step};
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::PoolLoad;

fn load(world: &JobWorld) -> PoolLoad {
    world.dispatcher.pool_loads(at(world.now))[&PoolName::new("pool")]
}

/// CPU that is expected for jobs yet to arrive. Waiting tasks count whatever their estimate is.
fn expected_arrivals(world: &JobWorld) -> u64 {
    let load = load(world);
    load.expected - load.waiting
}

/// Guards against sizing a pool by estimates that are half of the actual run times of its tasks.
#[test]
fn estimate_correction() {
    let mut underestimated = step(8, 4_000);
    underestimated.estimate = Duration::from_millis(100);
    let mut fresh = JobWorld::new(40, 1);
    fresh.submit(100, job(vec![underestimated.clone()]));
    fresh.submit(101, job(vec![underestimated.clone()]));
    let declared = expected_arrivals(&fresh);
    let mut world = JobWorld::new(40, 1);
    for id in 0..60 {
        world.submit(id, job(vec![underestimated.clone()]));
        world.run(10);
    }
    let ended = world.starts;
    assert!(ended > 300, "{ended} starts");
    world.run(60);
    assert_eq!(load(&world).expected, 0);
    world.submit(100, job(vec![underestimated.clone()]));
    world.submit(101, job(vec![underestimated]));
    let corrected = expected_arrivals(&world);
    assert!(corrected > declared * 3 / 2, "{corrected} of {declared}");
}

/// Guards against a pool that is sized for the jobs that have arrived although more arrive before an
/// instance can move, and against arrivals that are counted long after they have stopped.
#[test]
fn arrivals_continue() {
    let mut world = JobWorld::new(40, 1);
    let arrive = |world: &mut JobWorld, ids: std::ops::Range<u64>| {
        for id in ids {
            world.submit(id, job(vec![step(4, 1_000)]));
            world.run(1);
        }
    };
    // 20 jobs a second with 4 tasks of 0.5 s keep 40 cores busy. Observed run times correct the
    // estimates a little, and half a second does not fill the time over which the rate is taken.
    arrive(&mut world, 0..10);
    let seen = load(&world);
    assert!(seen.expected >= 30_000, "{seen:?}");
    arrive(&mut world, 10..20);
    let seen = load(&world);
    assert!(seen.expected >= 36_000, "{seen:?}");
    world.run(40);
    assert_eq!(load(&world).expected, 0);
}

/// Guards against a pool that is sized for a rate of arrivals of which a single large job is the
/// only sign.
#[test]
fn single_arrival() {
    let mut world = JobWorld::new(40, 1);
    world.submit(0, job(vec![step(200, 1_000)]));
    assert_eq!(expected_arrivals(&world), 0);
    world.submit(1, job(vec![step(4, 1_000)]));
    assert!(expected_arrivals(&world) > 0);
}

/// Guards against a pool that is sized for the first step of its jobs although a later, larger one
/// follows before an instance can move.
#[test]
fn later_step() {
    let mut world = JobWorld::new(40, 1);
    let mut first = step(1, 1_000);
    first.estimate = Duration::from_secs(1);
    let mut second = step(10, 2_000);
    second.estimate = Duration::from_secs(2);
    second.after = vec![0];
    world.submit(1, job(vec![first, second]));
    world.run(2);
    let seen = load(&world);
    assert!(seen.expected >= 20_000, "{seen:?}");
}

/// Guards against an absurd declaration that makes the load of its pool small, or stops the owner.
#[test]
fn absurd_size() {
    let mut world = JobWorld::new(40, 1);
    let mut absurd = step(8, 1_000);
    absurd.amount.cpu_millis = u64::MAX / 4;
    for id in 0..3 {
        world.submit(id, job(vec![absurd.clone()]));
    }
    let seen = load(&world);
    assert_eq!((seen.waiting, seen.expected), (u64::MAX, u64::MAX));
}
