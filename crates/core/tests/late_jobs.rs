//! Jobs of which workers report runs and ends before the owner has received them.

mod jobs;

use jobs::{JobWorld, at, job, step};
use sesamedeal_core::jobs::{JobId, JobPhase};

/// Job that a previous owner has started and the new one has not received.
const LATE: u64 = 1;

/// A world in which the tasks of a job run, and a new owner has taken over that has not received the
/// job. Its view of the table ends just after the takeover.
fn late_world() -> JobWorld {
    let mut world = JobWorld::new(2, 1);
    world.submit(LATE, job(vec![step(4, 1_000)]));
    world.run(2);
    let entry = world.stored.remove(&JobId(LATE)).unwrap();
    world.take_over();
    world.stored.insert(JobId(LATE), entry);
    complete(&mut world);
    world
}

/// Tells the owner that all jobs accepted until now are known.
fn complete(world: &mut JobWorld) {
    let now = at(world.now);
    world.dispatcher.note_jobs_complete(now, now);
}

/// Lets the owner receive the job.
fn receive(world: &mut JobWorld) {
    let (order, record) = world.stored[&JobId(LATE)].clone();
    let now = at(world.now);
    world
        .dispatcher
        .add_job(JobId(LATE), order, record, false, now);
}

fn ended(world: &JobWorld) -> usize {
    world.workers.iter().map(|worker| worker.ended.len()).sum()
}

/// Guards against tasks that run again because their ends were forgotten before their job arrived.
#[test]
fn late_ends() {
    let mut world = late_world();
    world.run(60);
    assert_eq!((world.running(), ended(&world)), (0, 4), "forgotten");
    receive(&mut world);
    world.run(4);
    assert_eq!(world.phase(JobId(LATE)), JobPhase::Finished);
    assert_eq!(world.starts, 4, "ran again");
    assert_eq!(ended(&world), 0, "not acknowledged");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against runs that are stopped because their job has not arrived.
#[test]
fn late_runs() {
    let mut world = late_world();
    world.run(1);
    assert_eq!(world.running(), 4, "stopped");
    receive(&mut world);
    world.run(60);
    assert_eq!(world.phase(JobId(LATE)), JobPhase::Finished);
    assert_eq!(world.starts, 4, "ran again");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against runs of a job that was never accepted, which go on, and against ends that are kept for
/// good: once all jobs are known, they are stopped and forgotten.
#[test]
fn unknown_job() {
    let mut world = late_world();
    world.run(1);
    assert_eq!(world.running(), 4);
    for _ in 0..10 {
        complete(&mut world);
        world.run(1);
    }
    assert_eq!(world.running(), 0, "not stopped");
    assert_eq!(ended(&world), 0, "not acknowledged");
    let other = world.submit(2, job(vec![step(4, 1_000)]));
    world.run(60);
    assert_eq!(world.phase(other), JobPhase::Finished);
}

/// Guards against runs of a job that has ended, which wait although the job is known.
#[test]
fn ended_job() {
    let mut world = JobWorld::new(2, 1);
    world.submit(LATE, job(vec![step(4, 1_000)]));
    world.run(2);
    assert!(world.dispatcher.cancel_job(JobId(LATE)));
    let batch = world.dispatcher.take_records(72, world.now);
    world.dispatcher.note_stored(&batch, at(world.now));
    world.stored.get_mut(&JobId(LATE)).unwrap().1 = batch.records[0].1.clone();
    world.take_over();
    let now = at(world.now);
    world.dispatcher.schedule_expiry(JobId(LATE), now);
    world.dispatcher.note_jobs_complete(now, now);
    world.run(2);
    assert_eq!(world.running(), 0);
}
