//! Waits of tasks and gangs for room on their preferred rack.

mod jobs;

use std::collections::BTreeSet;
use std::time::Duration;

use jobs::{JobWorld, at, first_task, near_job};
use sesamedeal_core::ids::ZoneName;
use sesamedeal_core::jobs::{JobId, JobPhase, WaitOutlook};

/// Cores of a worker, in thousandths.
const WORKER: u64 = 8_000;

/// A world with exact run times that are twice as long off the preferred rack.
fn world(racks: &[usize]) -> JobWorld {
    let mut world = JobWorld::new(racks.iter().sum(), 5).with_racks(racks, 2.0, 0.0, true);
    world.run(4);
    world
}

/// A world of two workers in which job 2 of `run_time` ms has just arrived and prefers rack 0, which a
/// task of `busy` ms has used for `since` ms.
fn busy_world(busy: u64, since: u64, run_time: u64) -> JobWorld {
    let mut world = world(&[1, 1]);
    world.submit(1, near_job(1, WORKER, busy, 0));
    world.run(1 + usize::try_from(since / 50).unwrap());
    world.submit(2, near_job(1, WORKER, run_time, 0));
    world
}

/// Runs `rounds` rounds and returns the time until the first start of a task of job 2 and its rack.
fn start(world: &mut JobWorld, index: u16, rounds: usize) -> Option<(u64, String)> {
    let begin = world.now;
    world.run(rounds);
    let task = first_task(JobId(2)).step.task(index);
    let (time, worker) = world.run_times.first_starts.get(&task)?;
    Some((time.saturating_sub(begin), world.rack(*worker).to_string()))
}

/// Labels of the waits that began or ended since the last call.
fn outcomes(world: &mut JobWorld) -> Vec<&'static str> {
    let waits = world.dispatcher.take_placement_waits(at(world.now));
    waits.iter().map(|wait| wait.outcome.label()).collect()
}

/// Load: a near place is free in 100 ms, and after longer than the run time that it saves. Guards against
/// a run elsewhere that takes 500 ms longer, and against a wait beside free capacity in vain.
#[test]
fn near_place() {
    for (busy, since, waited, rack) in [
        (500, 400, 100, "rack-0"),
        (1_000, 0, 50, "rack-1"),
        (30_000, 0, 50, "rack-1"),
    ] {
        let started = start(&mut busy_world(busy, since, 500), 0, 40);
        assert_eq!(started, Some((waited, rack.to_owned())));
    }
}

/// Load: a near task is always about to end; the other worker is free, or a task behind takes it for 1 s.
/// Guards against a wait of more than 2 s, a wait that keeps capacity from others, and a second wait for
/// the same run.
#[test]
fn false_progress() {
    for (run_time, others, limit) in [(5_000, 0, 2_000), (500, 1, 1_050)] {
        let mut world = busy_world(500, 350, run_time);
        world.submit(3, near_job(others, WORKER, 1_000, 1));
        let started = (1..=50).find_map(|round| {
            for run in world.workers[0].running.values_mut() {
                run.ends = world.now + 150;
            }
            start(&mut world, 0, 1).map(|(_, rack)| (round * 50, rack))
        });
        let (waited, rack) = started.unwrap();
        assert_eq!(rack, "rack-1");
        assert!((limit - 150..=limit + 50).contains(&waited), "{waited} ms");
    }
}

/// Load: 24 tasks that all prefer a rack which has room for two in 250 ms. Guards against tasks that wait
/// although those ahead of them take the room.
#[test]
fn popular_rack() {
    let mut world = world(&[1, 12]);
    world.submit(1, near_job(2, WORKER / 2, 500, 0));
    world.run(6);
    world.submit(2, near_job(24, WORKER / 2, 500, 0));
    world.run(40);
    assert_eq!(world.run_times.first_starts.len(), 26);
    let begun = outcomes(&mut world).into_iter();
    assert_eq!(begun.filter(|label| *label == "begun").count(), 2);
}

/// Load: an expected wait of 0.9 times the saving. Guards against a wait that is as likely to fail in an
/// empty pool, and against a run elsewhere that delays others in a full one.
#[test]
fn occupancy() {
    for (occupancy, is_worthwhile) in [(0.0, false), (1.0, true)] {
        let outlook = WaitOutlook {
            expected: Duration::from_millis(900),
            near_time: Duration::from_secs(1),
            spread_factor: 2.0,
            occupancy,
        };
        assert_eq!(outlook.pays_off(outlook.saving()), is_worthwhile);
    }
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
        world.submit(0, near_job(1, WORKER, age + 50, 1));
        world.submit(1, near_job(1, WORKER, age + 150, 0));
        world.run(1);
        world.submit(2, near_job(1, WORKER, 500, 0));
        let (_, rack) = start(&mut world, 0, 60).unwrap();
        assert_eq!(rack, expected, "age {age} ms");
    }
}

/// Failures: the rack's worker stops answering, and its zone is evacuated, while a task waits. Guards
/// against a task that waits for a rack where nothing can start.
#[test]
fn lost_rack() {
    for is_evacuated in [false, true] {
        let mut world = busy_world(500, 200, 500);
        world.workers[0].report.zone = ZoneName::new("other");
        world.list_workers();
        assert_eq!(start(&mut world, 0, 1), None);
        if is_evacuated {
            let zones = BTreeSet::from([ZoneName::new("other")]);
            world.dispatcher.set_evacuated_zones(zones);
        } else {
            world.workers[0].is_reachable = false;
        }
        let started = start(&mut world, 0, 1);
        assert_eq!(started, Some((50, "rack-1".to_owned())));
        assert_eq!(outcomes(&mut world), ["begun", "given-up"]);
    }
}

/// Failure: the owner changes while a task waits. Guards against a task that waits a second time, and
/// against one that never starts.
#[test]
fn new_owner() {
    let mut world = busy_world(600, 250, 500);
    assert_eq!(start(&mut world, 0, 1), None);
    assert_eq!(outcomes(&mut world), ["begun"]);
    world.take_over();
    let (waited, _) = start(&mut world, 0, 40).unwrap();
    assert!(waited <= 150, "{waited} ms");
    assert!(outcomes(&mut world).is_empty());
    assert_eq!(world.phase(JobId(2)), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Load: a gang that no rack has room for now, and one has soon or late. Guards against a gang that runs
/// on two racks for twice as long, and against one that waits too long for a common rack.
#[test]
fn common_rack() {
    for (busy, is_together) in [(500, true), (30_000, false)] {
        let mut world = world(&[2, 2]);
        world.submit(0, near_job(1, WORKER, busy, 0));
        world.submit(1, near_job(1, WORKER, busy, 1));
        world.run(9);
        let mut order = near_job(2, WORKER, 500, 0);
        order.steps[0].is_gang = true;
        order.steps[0].prefers_one_rack = true;
        order.steps[0].data_rack = None;
        world.submit(2, order);
        let (waited, rack) = start(&mut world, 0, 3).unwrap();
        let (_, other) = start(&mut world, 1, 0).unwrap();
        assert_eq!(rack == other, is_together);
        assert!(waited == 50 || is_together, "{waited} ms");
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}
