//! Jobs and outages whose rows would exceed the limits of the store, which ends each owner in turn.

mod jobs;

use jobs::{JobWorld, WorldFaults, job, read_back, step};
use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::{
    JobId, JobOrder, JobPhase, JobRecord, JobSchedule, StepName, StepRecord, TaskCrashes, TaskName,
    WorkerCrash,
};

fn schedule(count: u32) -> JobOrder {
    let mut order = job(vec![step(2, 100)]);
    order.schedule = Some(JobSchedule {
        count,
        start_ms: 0,
        interval: std::time::Duration::ZERO,
    });
    order
}

/// Guards against accepted jobs with so many tasks that each owner that loads them runs out of
/// memory.
#[test]
fn too_many_tasks() {
    assert!(job(vec![step(4_096, 1)]).check().is_ok());
    assert!(job(vec![step(4_097, 1)]).check().is_err());
    assert!(job(vec![step(u16::MAX, 1); 700]).check().is_err());
}

/// Guards against schedules whose record grows beyond a row of the store, or whose occurrences are
/// all due at once.
#[test]
fn too_many_occurrences() {
    assert!(schedule(1_536).check().is_ok());
    assert!(schedule(1_537).check().is_err());
    assert!(schedule(u32::MAX).check().is_err());
}

/// Guards against a heartbeat that exceeds a row of the store because many tasks run on workers
/// that do not answer.
#[test]
fn zone_lost() {
    let mut world = JobWorld::new(8, 1);
    let mut small = step(400, 1);
    small.amount.memory_mb = 0;
    small.max_per_worker = Some(60);
    small.is_lasting = true;
    for number in 0..8 {
        world.submit(number, job(vec![small.clone()]));
    }
    world.run(4);
    for worker in &mut world.workers {
        worker.is_reachable = false;
    }
    world.run(4);
    let published = world.dispatcher.unreachable_workers(jobs::at(world.now));
    let tasks: usize = published.iter().map(|worker| worker.tasks.len()).sum();
    assert!(tasks > 0 && tasks <= 1_200, "{tasks} tasks are published");
}

/// Occurrences of the job of [`failed_world`], which has the maximum number of steps.
const OCCURRENCES: u32 = 768;

/// A world in which a new owner has loaded a job all of whose tasks have failed twice.
fn failed_world() -> (JobWorld, JobId) {
    let mut world = JobWorld::new(8, 1);
    let mut small = step(1, 1);
    small.amount.memory_mb = 0;
    let mut order = job(vec![small.clone(), small]);
    order.schedule = schedule(OCCURRENCES).schedule;
    let id = world.submit(1, order);
    let steps = (0..OCCURRENCES).flat_map(|occurrence| {
        [0, 1].map(|step| StepRecord {
            occurrence,
            step,
            done: vec![0],
            failed: vec![(0, vec![1_001, 1_002])],
        })
    });
    let record = JobRecord {
        phase: JobPhase::Running,
        steps: steps.collect(),
        ..JobRecord::new()
    };
    world.stored.get_mut(&id).unwrap().1 = read_back(&record).unwrap();
    world.epoch = 2;
    world.take_over();
    (world, id)
}

/// Guards against a record that exceeds a row once runs have failed: each owner panicked when it
/// encoded it, and nothing was stored any more.
#[test]
fn failed_runs() {
    let (mut world, id) = failed_world();
    world.run(60);
    assert_eq!(world.phase(id), JobPhase::Finished);
    assert_eq!(world.starts, 1_536);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against attempts that are forgotten when a record is split.
#[test]
fn used_attempts() {
    let (mut world, id) = failed_world();
    world = world.with_faults(WorldFaults {
        failures: 1.0,
        ..WorldFaults::default()
    });
    world.run(60);
    assert_eq!(world.phase(id), JobPhase::Failed);
    assert_eq!(world.starts, 1_536, "started beyond its attempts");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against parts of a record that are lost or added when it is split, and against rows of an
/// earlier version that stay in force when it shrinks.
#[test]
fn split_record() {
    let crash = |boot| WorkerCrash {
        worker: InstanceName::new("w".repeat(200)),
        boot,
        instance: Some(InstanceName::new("i".repeat(200))),
        is_startup: true,
        is_run_confirmed: true,
        is_end_confirmed: true,
    };
    let step = |step| StepRecord {
        occurrence: u32::MAX,
        step,
        done: vec![u64::MAX; 64],
        failed: vec![(u16::MAX, vec![u64::MAX; 20_000])],
    };
    let task = |index| TaskName {
        step: StepName {
            job: JobId(u64::MAX),
            occurrence: u32::MAX,
            step: u16::MAX,
        },
        index,
    };
    let record = JobRecord {
        phase: JobPhase::Running,
        steps: vec![step(0), step(1)],
        crashes: (0..128)
            .map(|index| TaskCrashes {
                task: task(index),
                crashes: (0..5).map(crash).collect(),
            })
            .collect(),
        ..JobRecord::new()
    };
    let read = read_back(&record).unwrap();
    assert_eq!(read.crashes, record.crashes);
    let words = read.steps.iter().map(|step| step.done.len());
    assert_eq!(words.sum::<usize>(), 128);
    let runs = read.steps.iter().flat_map(|step| &step.failed);
    assert_eq!(runs.map(|(_, runs)| runs.len()).sum::<usize>(), 40_000);
    assert_eq!(read.stored_rows, record.row_count());
    let shrunk = JobRecord {
        steps: Vec::new(),
        ..read
    };
    let again = read_back(&shrunk).unwrap();
    assert_eq!(again.stored_rows, shrunk.stored_rows, "rows stay in force");
}

/// Guards against a record that exceeds a write, so that the store refuses each write of each owner.
#[test]
fn beyond_write() {
    let (mut world, id) = failed_world();
    let (_, record) = world.stored.get_mut(&id).unwrap();
    for step in &mut record.steps {
        step.failed[0].1 = (1..60).collect();
    }
    record.steps.pop();
    world.take_over();
    let other = world.submit(2, job(vec![step(1, 1)]));
    world.run(60);
    assert_eq!(world.phase(other), JobPhase::Finished);
    assert!(world.phase(id).is_final());
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
