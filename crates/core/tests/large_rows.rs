//! Jobs and outages whose rows would exceed the limits of the store, which ends each owner in turn.

mod jobs;

use jobs::{JobWorld, job, step};
use sesamedeal_core::jobs::{JobOrder, JobSchedule};

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
