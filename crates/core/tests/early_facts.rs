//! Ends and runs that workers report before the owner has created their occurrence.

mod jobs;

use std::time::Duration;

use jobs::{JobWorld, SimRun, job, partition_of, step};
use sesamedeal_core::jobs::{EndKind, JobId, JobPhase, JobSchedule, StepName, TaskName};

/// Repeated job.
const REPEATED: u64 = 1;

/// Tasks of an occurrence.
const TASKS: u16 = 4;

/// Start of the schedule, in Unix milliseconds.
const START: u64 = 10_000;

/// A world with a repeated job whose occurrences are 20 s apart.
fn repeated_world(start_ms: u64) -> JobWorld {
    let mut world = JobWorld::new(2, 1);
    let mut order = job(vec![step(TASKS, 1_000)]);
    order.schedule = Some(JobSchedule {
        count: 2,
        start_ms,
        interval: Duration::from_secs(20),
    });
    world.submit(REPEATED, order);
    world
}

fn name(occurrence: u32, index: u16) -> TaskName {
    let step = StepName {
        job: JobId(REPEATED),
        occurrence,
        step: 0,
    };
    step.task(index)
}

fn stopped(world: &JobWorld) -> usize {
    let ends = world.workers.iter().flat_map(|worker| &worker.ended);
    ends.filter(|end| end.kind == EndKind::Stopped).count()
}

/// Guards against tasks of an occurrence that run again because their ends, kept until the job is read,
/// are dropped when no occurrence is open.
#[test]
fn kept_ends() {
    let mut world = repeated_world(START);
    world.run(1);
    world.take_over_without([partition_of(JobId(REPEATED))]);
    world.run(60);
    assert_eq!(world.running(), 0);
    world.read_partition(partition_of(JobId(REPEATED)));
    world.run(60);
    assert_eq!(world.starts, usize::from(TASKS), "ran again");
    world.run(400);
    assert_eq!(world.starts, 2 * usize::from(TASKS));
    assert_eq!(world.phase(JobId(REPEATED)), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against runs of an occurrence that are stopped because it is not open when their job is read.
#[test]
fn kept_runs() {
    let mut world = repeated_world(START);
    world.run(2);
    world.take_over_without([partition_of(JobId(REPEATED))]);
    world.run(1);
    assert_eq!(world.running(), usize::from(TASKS));
    world.read_partition(partition_of(JobId(REPEATED)));
    world.run(2);
    assert_eq!(stopped(&world), 0);
    world.run(60);
    assert_eq!(world.starts, usize::from(TASKS), "ran again");
}

/// Guards against the same if the first lists arrive before the first planning round.
#[test]
fn first_lists() {
    let mut world = repeated_world(START);
    world.run(2);
    world.take_over();
    world.run(1);
    assert_eq!(world.running(), usize::from(TASKS));
    world.run(60);
    assert_eq!(world.starts, usize::from(TASKS), "ran again");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a task of an occurrence that runs again, or one that starts before its time, because
/// the previous owner had a clock that is ahead.
#[test]
fn clock_ahead() {
    let mut world = repeated_world(START + 8_000);
    world.clock_ahead = 8_000;
    for worker in world.workers.iter_mut() {
        worker.is_refusing = true;
    }
    world.workers[0].is_refusing = false;
    world.run(1);
    assert_eq!(world.starts, usize::from(TASKS));
    world.clock_ahead = 0;
    // One of the tasks is lost and has to start again at its time.
    let lost = (name(0, 0), 1);
    assert!(world.workers[0].running.remove(&lost).is_some());
    world.take_over();
    world.run(100);
    assert_eq!(world.starts, usize::from(TASKS), "too early or again");
    world.run(100);
    assert_eq!(world.starts, usize::from(TASKS) + 1);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against runs that go on although their job has ended, was never accepted, or has no such
/// occurrence.
#[test]
fn unknown_tasks() {
    let mut world = repeated_world(START);
    let other = world.submit(2, job(vec![step(1, 1_000)]));
    world.run(40);
    assert_eq!(world.phase(other), JobPhase::Finished);
    world.take_over();
    let mut tasks = [name(2, 0), name(0, TASKS), name(0, 0), name(0, 0)];
    tasks[2].step.job = other;
    tasks[3].step.job = JobId(77);
    for task in tasks {
        let run = SimRun {
            ends: u64::MAX,
            lease_end: u64::MAX,
            fails: false,
            is_alone: false,
            started: world.now,
        };
        world.workers[0].running.insert((task, 50), run);
    }
    world.run(4);
    assert_eq!(world.running(), 0, "not stopped");
    world.run(20);
    assert!(world.workers.iter().all(|worker| worker.ended.is_empty()));
}
