//! Evacuation of availability zones.

mod jobs;

use std::collections::BTreeSet;
use std::time::Duration;

use jobs::{JobWorld, WorldFaults, at, job, step};
use sesamedeal_core::ids::ZoneName;
use sesamedeal_core::jobs::{EndKind, JobPhase, StepSpec};

/// Rounds of 50 ms within which a bound of two seconds is kept.
const TWO_SECONDS: usize = 40;

/// Returns a world whose workers are in the zones `east` and `west` in turn.
fn world(workers: usize, seed: u64) -> JobWorld {
    let mut world = JobWorld::new(workers, seed);
    for (number, worker) in world.workers.iter_mut().enumerate() {
        worker.report.zone = ZoneName::new(if number % 2 == 0 { "east" } else { "west" });
    }
    world.list_workers();
    world.run(2);
    world
}

fn evacuate(world: &mut JobWorld, zones: &[&str]) {
    let zones: BTreeSet<ZoneName> = zones.iter().map(ZoneName::new).collect();
    world.dispatcher.set_evacuated_zones(zones);
}

/// Number of runs that the workers of a zone have begun so far.
fn begun_in(world: &JobWorld, zone: &str) -> usize {
    let workers = world.workers.iter();
    let in_zone = workers.filter(|worker| worker.report.zone == ZoneName::new(zone));
    in_zone
        .map(|worker| worker.running.len() + worker.ended.len() + worker.highest_runs.len())
        .sum()
}

/// Number of tasks that run in a zone.
fn running_in(world: &JobWorld, zone: &str) -> usize {
    let workers = world.workers.iter();
    let in_zone = workers.filter(|worker| worker.report.zone == ZoneName::new(zone));
    in_zone.map(|worker| worker.running.len()).sum()
}

fn lasting(count: u16) -> StepSpec {
    StepSpec {
        is_lasting: true,
        disruption_budget: Some(1),
        ..step(count, 1_000)
    }
}

/// Guards against starts in an evacuated zone at the peak of the load, when the other zones are full
/// and only the evacuated one has room.
#[test]
fn peak_load() {
    let mut world = world(4, 1);
    evacuate(&mut world, &["east"]);
    let ids: Vec<_> = (1..=12)
        .map(|id| world.submit(id, job(vec![step(4, 2_000)])))
        .collect();
    for _ in 0..200 {
        world.round();
        assert_eq!(begun_in(&world, "east"), 0, "started in the evacuated zone");
    }
    for id in ids {
        assert_eq!(world.phase(id), JobPhase::Finished);
    }
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against ending tasks that run in the zone, and against leaving its workers idle after the
/// request is withdrawn.
#[test]
fn reopened_zone() {
    let mut world = world(2, 2);
    let spread = StepSpec {
        max_per_worker: Some(4),
        ..lasting(8)
    };
    world.submit(1, job(vec![spread]));
    world.run(20);
    let before = running_in(&world, "east");
    assert!(before > 0);
    evacuate(&mut world, &["east"]);
    world.run(100);
    assert_eq!(running_in(&world, "east"), before, "the tasks go on");
    evacuate(&mut world, &[]);
    world.submit(2, job(vec![step(12, 1_000)]));
    let begun = begun_in(&world, "east");
    world.run(TWO_SECONDS);
    assert!(begun_in(&world, "east") > begun, "the zone is used again");
}

/// Guards against a restart of a long-running task in the evacuated zone.
#[test]
fn restarted_task() {
    let mut world = world(4, 3);
    let id = world.submit(1, job(vec![lasting(4)]));
    world.run(20);
    evacuate(&mut world, &["east"]);
    let east: Vec<usize> = (0..4).filter(|number| number % 2 == 0).collect();
    for index in east {
        let runs: Vec<_> = world.workers[index].running.keys().copied().collect();
        for (task, run) in runs {
            world.workers[index].end(task, run, EndKind::Failed);
        }
    }
    world.run(2 * TWO_SECONDS);
    assert_eq!(running_in(&world, "east"), 0, "restarted in the zone");
    assert_eq!(running_in(&world, "west"), 4, "restarted elsewhere");
    assert_eq!(world.phase(id), JobPhase::Running);
}

/// Guards against a worker that joins the list, or an owner that takes over, while a zone is evacuated.
#[test]
fn later_arrivals() {
    let mut world = world(2, 4);
    world.workers[0].is_listed = false;
    let name = world.workers[0].report.name.clone();
    world.dispatcher.unlist_worker(&name);
    evacuate(&mut world, &["east", "north"]);
    world.workers[0].is_listed = true;
    world.list_workers();
    world.submit(1, job(vec![step(8, 2_000)]));
    world.run(10);
    assert_eq!(begun_in(&world, "east"), 0, "started on the new worker");
    world.take_over();
    evacuate(&mut world, &["east"]);
    world.submit(2, job(vec![step(8, 2_000)]));
    world.run(200);
    assert_eq!(begun_in(&world, "east"), 0, "started by the new owner");
    assert_eq!(
        world.phase(sesamedeal_core::jobs::JobId(2)),
        JobPhase::Finished
    );
}

/// Guards against starts in the evacuated zone after crashes, whose suspects start on workers that were
/// planned before the request, and against jobs that never end because of it.
#[test]
fn crashing_workers() {
    for seed in 0..8 {
        let mut world = world(6, seed).with_faults(WorldFaults {
            crashes: 0.02,
            kept_names: 0.5,
            ..WorldFaults::default()
        });
        for id in 1..=6 {
            world.submit(id, job(vec![step(4, 1_000)]));
        }
        world.run(40);
        evacuate(&mut world, &["east"]);
        world.run(1);
        let mut running = running_in(&world, "east");
        for _ in 0..100 {
            world.submit(world.now, job(vec![step(2, 1_000)]));
            world.round();
            let more = running_in(&world, "east");
            assert!(more <= running, "seed {seed}: started in the zone");
            running = more;
        }
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Guards against counting workers of an evacuated zone as capacity, so that their pool would get no
/// instances of other zones.
#[test]
fn missing_capacity() {
    let mut world = world(4, 5);
    let load = |world: &JobWorld| world.dispatcher.pool_loads(at(world.now)).into_values();
    let before = load(&world).next().unwrap();
    evacuate(&mut world, &["east"]);
    let after = load(&world).next().unwrap();
    assert_eq!((after.evacuated, after.usable), (2, 2));
    assert_eq!(after.capacity * 2, before.capacity);
}

/// Guards against work for a worker that is slow after its start while a warm one has room.
#[test]
fn warm_first() {
    let mut world = world(2, 6);
    world.workers[0].report.warm_up = Duration::from_secs(5);
    world.list_workers();
    world.submit(1, job(vec![step(4, 1_000)]));
    world.run(4);
    assert_eq!(
        (running_in(&world, "east"), running_in(&world, "west")),
        (0, 4)
    );
}
