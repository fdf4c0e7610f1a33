//! Waits of tasks and gangs for room on their preferred rack.

mod jobs;

use std::collections::BTreeSet;

use jobs::{JobWorld, at, first_task, near_job};
use sesamedeal_core::ids::ZoneName;
use sesamedeal_core::jobs::{JobPhase, TaskName};

/// Cores of a worker, in thousandths.
const WORKER: u64 = 8_000;

/// A world with exact run times that are twice as long off the preferred rack.
fn world(racks: &[usize]) -> JobWorld {
    let mut world = JobWorld::new(racks.iter().sum(), 5).with_racks(racks, 2.0, 0.0, true);
    world.run(4);
    world
}

/// Time from `since` until the first start of a task, and the rack on which it started.
fn start(world: &JobWorld, task: TaskName, since: u64) -> Option<(u64, String)> {
    let (time, index) = world.run_times.first_starts.get(&task)?;
    Some((time - since, world.rack(*index).to_string()))
}

/// Labels of the waits that began or ended since the last call.
fn outcomes(world: &mut JobWorld) -> Vec<&'static str> {
    let waits = world.dispatcher.take_placement_waits(at(world.now));
    waits.iter().map(|wait| wait.outcome.label()).collect()
}

/// Returns when and where a task starts that prefers rack 0, where a task of `busy` ms began
/// `before` ms ago. Rack 1 is free.
fn start_beside(busy: u64, before: u64) -> (u64, String) {
    let mut world = world(&[1, 1]);
    world.submit(1, near_job(1, WORKER, busy, 0));
    world.run(1 + usize::try_from(before / 50).unwrap());
    let since = world.now;
    let id = world.submit(2, near_job(1, WORKER, 500, 0));
    world.run(40);
    start(&world, first_task(id), since).unwrap()
}

/// Load: a near place is free in 100 ms. Guards against a run elsewhere that takes 500 ms longer.
#[test]
fn near_soon() {
    let (waited, rack) = start_beside(500, 400);
    assert_eq!(rack, "rack-0");
    assert!(waited <= 150, "{waited} ms");
}

/// Load: a near place is free after longer than the run time that it saves. Guards against a task
/// that waits beside free capacity in vain.
#[test]
fn near_late() {
    assert_eq!(start_beside(1_000, 0), (50, "rack-1".to_owned()));
    assert_eq!(start_beside(30_000, 0), (50, "rack-1".to_owned()));
}

/// Load: a near task runs ten times as long as declared. Guards against a wait beyond its limit, and
/// against a second wait for the same run.
#[test]
fn false_estimate() {
    let mut world = world(&[1, 1]);
    world.submit(1, near_job(1, WORKER, 500, 0));
    world.run(8);
    for run in world
        .workers
        .iter_mut()
        .flat_map(|worker| worker.running.values_mut())
    {
        run.ends += 5_000;
    }
    let since = world.now;
    let id = world.submit(2, near_job(1, WORKER, 500, 0));
    world.run(40);
    let (waited, rack) = start(&world, first_task(id), since).unwrap();
    assert_eq!(rack, "rack-1");
    assert!(waited <= 550, "{waited} ms");
    assert!(
        outcomes(&mut world)
            .iter()
            .filter(|label| **label == "begun")
            .count()
            <= 1
    );
}

/// Load: 24 tasks that all prefer a rack with room for two. Guards against tasks that wait although
/// those ahead of them take the room.
#[test]
fn popular_rack() {
    let mut world = world(&[1, 12]);
    let since = world.now;
    let id = world.submit(1, near_job(24, WORKER / 2, 500, 0));
    world.run(40);
    let starts: Vec<_> = (0..24)
        .map(|index| start(&world, first_task(id).step.task(index), since).unwrap())
        .collect();
    let waited = starts.iter().filter(|(time, _)| *time > 50).count();
    assert!(waited <= 2, "{starts:?}");
    assert!(starts.iter().all(|(time, _)| *time <= 600), "{starts:?}");
}

/// Load: twice the demand that two racks serve, all of it with a preference. Guards against runs off
/// their rack that take the capacity from others.
#[test]
fn full_pool() {
    let finished = [true, false].map(|has_waits| {
        let mut world = JobWorld::new(4, 5).with_racks(&[2, 2], 2.0, 0.0, has_waits);
        for round in 0..200 {
            if round % 2 == 0 {
                let rack = usize::try_from(round / 2 % 2).unwrap();
                world.submit(round, near_job(2, 3_000, 400 + round % 7 * 40, rack));
            }
            world.round();
        }
        let jobs = world.stored.values();
        jobs.filter(|(_, record)| record.phase == JobPhase::Finished)
            .count()
    });
    println!("jobs finished in 10 s, with and without waits: {finished:?}");
    assert!(finished[0] * 10 >= finished[1] * 11, "{finished:?}");
}

/// Load: a near place is free in 100 ms, and a run elsewhere must start now to meet the objective of
/// 1,400 ms. Guards against a wait that puts the objective at risk. If only a near run can meet it, the
/// task waits.
#[test]
fn objective_at_risk() {
    for (age, expected) in [(100, "rack-0"), (350, "rack-1"), (600, "rack-0")] {
        let mut world = world(&[1, 1]);
        // Keeps rack 1 busy for `age` and rack 0 for 100 ms longer.
        world.submit(1, near_job(1, WORKER, age + 50, 1));
        world.submit(2, near_job(1, WORKER, age + 150, 0));
        world.run(1);
        let id = world.submit(3, near_job(1, WORKER, 500, 0));
        world.run(60);
        let (_, rack) = start(&world, first_task(id), 0).unwrap();
        assert_eq!(rack, expected, "age {age} ms");
    }
}

/// Failures: the rack's worker stops answering, and its zone is evacuated, while a task waits. Guards
/// against a task that waits for a rack where nothing can start.
#[test]
fn lost_rack() {
    for is_evacuated in [false, true] {
        let mut world = world(&[1, 1]);
        world.workers[0].report.zone = ZoneName::new("other");
        world.list_workers();
        world.submit(1, near_job(1, WORKER, 500, 0));
        world.run(5);
        let id = world.submit(2, near_job(1, WORKER, 500, 0));
        world.run(1);
        assert_eq!(outcomes(&mut world), ["begun"]);
        if is_evacuated {
            let zones = BTreeSet::from([ZoneName::new("other")]);
            world.dispatcher.set_evacuated_zones(zones);
        } else {
            world.workers[0].is_reachable = false;
        }
        let since = world.now;
        world.run(1);
        let started = start(&world, first_task(id), since);
        assert_eq!(started, Some((50, "rack-1".to_owned())));
        assert_eq!(outcomes(&mut world), ["given-up"]);
    }
}

/// Failure: the owner changes while a task waits. Guards against a task that waits a second time, and
/// against one that never starts.
#[test]
fn new_owner() {
    let mut world = world(&[1, 1]);
    world.submit(1, near_job(1, WORKER, 600, 0));
    world.run(6);
    let id = world.submit(2, near_job(1, WORKER, 500, 0));
    world.run(1);
    assert_eq!(outcomes(&mut world), ["begun"]);
    let since = world.now;
    world.take_over();
    world.run(4);
    assert!(outcomes(&mut world).is_empty());
    let (waited, _) = start(&world, first_task(id), since).unwrap();
    assert!(waited <= 150, "{waited} ms");
    world.run(40);
    assert_eq!(world.phase(id), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Load: a gang that no rack has room for now, and one has soon or late. Guards against a gang that runs
/// on two racks for twice as long, and against one that waits too long for a common rack.
#[test]
fn common_rack() {
    for (busy, is_together) in [(500, true), (30_000, false)] {
        let mut world = world(&[2, 2]);
        for rack in 0..2 {
            world.submit(
                rack,
                near_job(1, WORKER, busy, usize::try_from(rack).unwrap()),
            );
        }
        world.run(9);
        let mut order = near_job(2, WORKER, 500, 0);
        order.steps[0].is_gang = true;
        order.steps[0].prefers_one_rack = true;
        order.steps[0].data_rack = None;
        let since = world.now;
        let id = world.submit(2, order);
        world.run(40);
        let starts =
            [0, 1].map(|index| start(&world, first_task(id).step.task(index), since).unwrap());
        assert_eq!(starts[0].0, starts[1].0, "members start together");
        assert_eq!(starts[0].1 == starts[1].1, is_together, "{starts:?}");
        assert!(
            starts[0].0 <= if is_together { 150 } else { 50 },
            "{starts:?}"
        );
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}
