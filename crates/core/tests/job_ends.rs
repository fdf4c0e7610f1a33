//! Ends of jobs and runs, and the expiry of their records.

mod jobs;

use jobs::{JobWorld, WorldFaults, at, job, step};
use sesamedeal_core::jobs::{EndKind, JobPhase, JobRecord};

/// Guards against a job of several steps that does not finish, or whose steps start out of order.
#[test]
fn steps_in_order() {
    let mut world = JobWorld::new(2, 1);
    let mut second = step(3, 1_000);
    second.after = vec![0];
    let id = world.submit(1, job(vec![step(4, 1_000), second]));
    world.run(80);
    assert_eq!(world.phase(id), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against the loss of a job's end when the store refuses the write: the dispatcher had
/// removed the job while the write was in flight and had acknowledged the end to the worker.
#[test]
fn refused_record() {
    let faults = WorldFaults {
        refused_writes: 0.7,
        ..WorldFaults::default()
    };
    let mut world = JobWorld::new(2, 3).with_faults(faults);
    let ids: Vec<_> = (0..20)
        .map(|number| world.submit(number, job(vec![step(2, 1_000)])))
        .collect();
    world.run(400);
    for id in ids {
        assert_eq!(world.phase(id), JobPhase::Finished, "{id}");
    }
}

/// Guards against a failing job that is retried without limit.
#[test]
fn attempts_used() {
    let faults = WorldFaults {
        failures: 1.0,
        ..WorldFaults::default()
    };
    let mut world = JobWorld::new(3, 1).with_faults(faults);
    let id = world.submit(1, job(vec![step(1, 1_000)]));
    world.run(400);
    assert_eq!(world.phase(id), JobPhase::Failed);
    assert_eq!(world.starts, 3);
}

/// Guards against tasks that continue after their job is cancelled.
#[test]
fn cancelled_job() {
    let mut world = JobWorld::new(2, 1);
    let mut long_running = step(4, 500);
    long_running.is_lasting = true;
    let id = world.submit(1, job(vec![long_running]));
    world.run(20);
    assert!(world.dispatcher.cancel_job(id));
    world.run(4);
    assert_eq!(world.phase(id), JobPhase::Cancelled);
    assert!(world.workers.iter().all(|worker| worker.tasks().is_empty()));
    assert!(!world.dispatcher.cancel_job(id), "a job ends once");
    let orders = world.dispatcher.plan(at(world.now), world.now);
    assert!(orders.is_empty());
}

/// Guards against a second run of a job that ends while the job table is being read, because the
/// read still returns the job as open.
#[test]
fn ended_stays_ended() {
    let mut world = JobWorld::new(2, 1);
    let order = job(vec![step(2, 1_000)]);
    let id = world.submit(1, order.clone());
    world.run(40);
    assert_eq!(world.phase(id), JobPhase::Finished);
    let now = at(world.now);
    let record = JobRecord::new();
    assert!(!world.dispatcher.add_job(id, order, record, false, now));
    world.run(10);
    assert_eq!(world.starts, 2);
}

/// Guards against records of ended jobs that never expire, or expire before callers have read them.
#[test]
fn records_expire() {
    let mut world = JobWorld::new(2, 1);
    world.submit(1, job(vec![step(2, 1_000)]));
    world.run(40);
    let keep = 240_000;
    assert!(
        world
            .dispatcher
            .take_expired(8, at(world.now + keep - 3_000))
            .is_empty()
    );
    assert_eq!(
        world.dispatcher.take_expired(8, at(world.now + keep)).len(),
        1
    );
    assert!(
        world
            .dispatcher
            .take_expired(8, at(world.now + keep))
            .is_empty()
    );
}

/// Guards against a lasting task that is never started again, or a job that is shown as finished,
/// because runs end as done: lasting tasks run until their job is cancelled.
#[test]
fn lasting_tasks() {
    let mut world = JobWorld::new(2, 1);
    let mut spec = step(3, 1_000);
    spec.is_lasting = true;
    let id = world.submit(1, job(vec![spec]));
    for starts in [3, 6, 9] {
        world.run(20);
        assert_eq!(world.starts, starts);
        for worker in &mut world.workers {
            let runs: Vec<_> = worker.running.keys().copied().collect();
            for (task, run) in runs {
                worker.end(task, run, EndKind::Done);
            }
        }
    }
    world.run(20);
    assert_eq!(world.phase(id), JobPhase::Running);
    let running: usize = world
        .workers
        .iter()
        .map(|worker| worker.tasks().len())
        .sum();
    assert_eq!(running, 3);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
