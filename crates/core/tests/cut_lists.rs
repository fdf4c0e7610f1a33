//! Lists of workers that are cut short: of more ends than fit, the rest follows once the first ones are
//! acknowledged.

mod jobs;

use jobs::{JobWorld, at, job, step};
use sesamedeal_core::jobs::{JobId, JobPhase, StepName, StepSpec};

/// Job whose tasks end while their owner stands still.
const ENDED: u64 = 1;

fn small_step(count: u16) -> StepSpec {
    let mut step = step(count, 1);
    step.amount.memory_mb = 0;
    step
}

/// A world in which all tasks of a job run on the first worker and end while the owner stands still, and
/// a new owner has taken over.
fn ended_world(workers: usize, count: u16) -> JobWorld {
    let mut world = JobWorld::new(workers, 1);
    for worker in world.workers.iter_mut().skip(1) {
        worker.is_refusing = true;
    }
    let name = StepName {
        job: JobId(ENDED),
        occurrence: 0,
        step: 0,
    };
    world.lengths.insert(name, 500);
    world.submit(ENDED, job(vec![small_step(count)]));
    while world.workers[0].running.len() < usize::from(count) {
        world.run(1);
    }
    let starts = world.starts;
    world.workers[0].is_hanging = true;
    world.run(20);
    assert_eq!(world.workers[0].ended.len(), usize::from(count));
    assert_eq!(world.starts, starts);
    world.workers[0].is_hanging = false;
    for worker in &mut world.workers {
        worker.is_refusing = false;
    }
    world.starts = 0;
    world.take_over();
    world
}

/// Guards against tasks that run again because their ends are on a later page of the list.
#[test]
fn later_pages() {
    for count in [499, 500, 501, 900, 1_600] {
        let mut world = ended_world(1, count);
        world.run(20);
        assert_eq!(world.phase(JobId(ENDED)), JobPhase::Finished, "{count}");
        assert_eq!(world.starts, 0, "{count} tasks ended");
    }
}

/// Guards against the same while the store takes no writes, so that no end can be acknowledged, for
/// longer than the leases.
#[test]
fn silent_store() {
    let mut world = ended_world(1, 900);
    world.is_store_silent = true;
    world.run(300);
    assert_eq!(world.starts, 0, "ran again");
    world.is_store_silent = false;
    world.run(20);
    assert_eq!(world.phase(JobId(ENDED)), JobPhase::Finished);
    assert_eq!(world.starts, 0, "ran again");
}

/// Guards against tasks that wait for good for the further pages of a worker that is lost, and against a
/// start before its lease has passed.
#[test]
fn lost_worker() {
    let mut world = ended_world(2, 900);
    world.run(1);
    assert_eq!(world.workers[0].ended.len(), 900);
    world.workers[0].is_reachable = false;
    world.run(80);
    assert_eq!(world.starts, 0, "started before the lease has passed");
    world.run(80);
    assert_eq!(world.phase(JobId(ENDED)), JobPhase::Finished);
    assert_eq!(world.starts, 400);
}

/// Guards against a publication that lists only the first page of a worker: the next owner would start
/// the other tasks.
#[test]
fn next_owner() {
    let mut world = ended_world(2, 900);
    world.run(1);
    world.workers[0].is_reachable = false;
    world.run(20);
    assert!(
        world
            .dispatcher
            .unreachable_workers(at(world.now))
            .is_empty()
    );
    world.take_over();
    world.run(20);
    assert_eq!(world.starts, 0, "started before the lease has passed");
    world.workers[0].is_reachable = true;
    world.run(20);
    assert_eq!(world.phase(JobId(ENDED)), JobPhase::Finished);
    assert_eq!(world.starts, 0, "ran again");
}

/// Guards against a worker that stays half known because hundreds of its tasks end all the time: its
/// ends are taken up, and it gets tasks again.
#[test]
fn many_ends() {
    let mut world = JobWorld::new(1, 1);
    for number in 0..3 {
        let name = StepName {
            job: JobId(number),
            occurrence: 0,
            step: 0,
        };
        world.lengths.insert(name, 50);
        world.submit(number, job(vec![small_step(2_000)]));
    }
    world.run(1);
    world.take_over();
    world.run(150);
    for number in 0..3 {
        assert_eq!(world.phase(JobId(number)), JobPhase::Finished, "{number}");
    }
    assert_eq!(world.starts, 6_000);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a second run of tasks that are left out of a heartbeat because it is limited.
#[test]
fn cut_publication() {
    let mut world = JobWorld::new(4, 1);
    let mut small = small_step(1_000);
    small.is_lasting = true;
    small.max_per_worker = Some(900);
    world.submit(1, job(vec![small.clone()]));
    world.submit(2, job(vec![small]));
    world.run(4);
    assert_eq!(world.starts, 2_000);
    for worker in &mut world.workers {
        worker.is_reachable = worker.running.is_empty();
    }
    world.run(20);
    let published = world.dispatcher.unreachable_workers(at(world.now));
    let tasks: usize = published.iter().map(|worker| worker.tasks.len()).sum();
    assert!(tasks < 2_000, "{tasks} tasks are published");
    world.take_over();
    world.run(40);
    assert_eq!(world.starts, 2_000, "started while the leases may last");
    world.run(400);
    let running = world.workers.iter().filter(|worker| worker.is_reachable);
    let running: usize = running.map(|worker| worker.running.len()).sum();
    assert_eq!(running, 2_000, "not started after the leases");
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
