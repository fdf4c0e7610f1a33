//! Quarantine of workers that refuse or fail tasks.

mod jobs;

use jobs::{JobWorld, at, job, step};
use sesamedeal_core::jobs::{EndKind, JobId, JobPhase, StartOutcome, WorkerOrder};

/// Rounds of the first quarantine, which lasts 4 s, and of the tasks afterwards.
const ROUNDS: usize = 100 + 20;

/// Plans a round in which the only worker refuses all starts, and returns their number.
fn refuse_starts(world: &mut JobWorld) -> usize {
    let now = at(world.now);
    let orders = world.dispatcher.plan(now, world.now);
    let starts = orders.into_iter().filter_map(|order| match order {
        WorkerOrder::Start(key, order) => Some((key, order)),
        _ => None,
    });
    let mut refused = 0;
    for (key, order) in starts {
        let outcome = StartOutcome::Unavailable;
        world
            .dispatcher
            .note_start(key, order.task, order.run, outcome, now);
        refused += 1;
    }
    refused
}

/// A world with one worker, which has just refused all tasks of a job of `count`.
fn refusing_world(count: u16) -> JobWorld {
    let mut world = JobWorld::new(1, 1);
    world.run(2);
    world.submit(1, job(vec![step(count, 500)]));
    assert_eq!(refuse_starts(&mut world), usize::from(count));
    world
}

/// Guards against a worker that gets no tasks for half a minute because it refused several starts
/// within a moment: each one counted as a failed trial.
#[test]
fn refused_starts() {
    let mut world = refusing_world(16);
    world.run(ROUNDS);
    assert_eq!(world.phase(JobId(1)), JobPhase::Finished);
}

/// Guards against starts on a worker that has just refused one.
#[test]
fn quarantined_worker() {
    let mut world = refusing_world(1);
    world.run(70);
    assert_eq!(world.starts, 0);
}

/// Guards against a worker that is tried again as soon as before although its trial failed.
#[test]
fn failed_trial() {
    let mut world = refusing_world(1);
    world.now += 4_100;
    assert_eq!(refuse_starts(&mut world), 1);
    world.run(150);
    assert_eq!(
        world.starts, 0,
        "started within the second quarantine of 8 s"
    );
    world.run(20);
    assert_eq!(world.starts, 1);
}

/// A world with one worker, on which a lasting task of each of three jobs has run for `rounds`.
fn lasting_world(rounds: usize) -> JobWorld {
    let mut world = JobWorld::new(1, 1);
    for number in 0..3 {
        let mut spec = step(1, 500);
        spec.is_lasting = true;
        world.submit(number, job(vec![spec]));
    }
    world.run(2 + rounds);
    assert_eq!(world.starts, 3);
    world
}

/// Lets the run of the only task of a job fail, and returns whether the task is started again within
/// a second.
fn restarts_after_failure(world: &mut JobWorld, number: u64) -> bool {
    let worker = &mut world.workers[0];
    let runs: Vec<_> = worker.running.keys().copied().collect();
    let of_job = runs.iter().find(|(task, _)| task.step.job == JobId(number));
    let &(task, run) = of_job.expect("the task runs");
    worker.end(task, run, EndKind::Failed);
    let starts = world.starts;
    world.run(20);
    world.starts > starts
}

/// Guards against lasting tasks that have no run for long because others of their worker failed now
/// and then: nothing but a task that was done cleared the failures.
#[test]
fn lasting_tasks() {
    let mut world = lasting_world(120);
    for number in [0, 1, 2, 0, 1, 2] {
        assert!(restarts_after_failure(&mut world, number), "job {number}");
        world.run(100);
    }
}

/// Guards against starts on a worker on which lasting tasks of several jobs fail soon after their
/// start.
#[test]
fn failing_worker() {
    let mut world = lasting_world(10);
    assert!(restarts_after_failure(&mut world, 0));
    assert!(restarts_after_failure(&mut world, 1));
    assert!(!restarts_after_failure(&mut world, 2));
}
