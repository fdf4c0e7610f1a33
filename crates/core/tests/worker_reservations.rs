//! Workers that are kept free for tasks which find no room.

mod jobs;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use jobs::{JobWorld, amount, at, first_task, job, rules, step};
use sesamedeal_core::ids::{PoolName, QueueName};
use sesamedeal_core::jobs::{AdviceOutcome, AdviceRule, JobId, JobOrder, JobPhase, ResourceAmount};

/// Rounds in 3 s, the time for which a job may wait beside free capacity.
const MAX_WAIT: usize = 60;

fn lasting(count: u16, cpu_millis: u64) -> JobOrder {
    let mut spec = step(count, cpu_millis);
    spec.is_lasting = true;
    spec.max_per_worker = Some(1);
    job(vec![spec])
}

/// A world in which each worker has a task that does not end.
fn occupied_world(workers: u16) -> JobWorld {
    let mut world = JobWorld::new(usize::from(workers), 5);
    world.submit(1_000, lasting(workers, 1_000));
    world.run(10);
    assert_eq!(world.starts, usize::from(workers));
    world
}

/// Submits small jobs and checks that they go on.
fn assert_small_jobs_run(world: &mut JobWorld) {
    let ids: Vec<JobId> = (500..506)
        .map(|id| world.submit(id, job(vec![step(4, 1_000)])))
        .collect();
    world.run(MAX_WAIT);
    for id in ids {
        assert_eq!(world.phase(id), JobPhase::Finished, "job {id}");
    }
}

fn reserved(world: &JobWorld) -> usize {
    let loads = world.dispatcher.pool_loads(at(world.now));
    loads[&PoolName::new("pool")].reserved
}

/// Whether the first task of a job is at work.
fn is_running(world: &JobWorld, id: JobId) -> bool {
    let task = first_task(id);
    world
        .workers
        .iter()
        .any(|worker| worker.tasks().contains(&task))
}

/// Submits small jobs that fill all workers for `rounds` rounds, and returns whether `large` starts
/// meanwhile.
fn starts_beside_stream(world: &mut JobWorld, large: JobId, rounds: u64) -> bool {
    for round in 0..rounds {
        if round % 4 == 0 {
            world.submit(10_000 + round, job(vec![step(8, 1_000)]));
        }
        world.round();
        if is_running(world, large) {
            return true;
        }
    }
    false
}

/// Guards against small jobs that never start because each worker is kept free for a large task that
/// can never run there.
#[test]
fn small_jobs() {
    let mut world = occupied_world(4);
    for id in 0..4 {
        world.submit(id, lasting(1, 8_000));
    }
    world.run(10);
    assert_small_jobs_run(&mut world);
    assert_eq!(reserved(&world), 0);
}

/// Guards against a large task that never starts because small ones take the room as it comes free.
#[test]
fn large_task() {
    let mut world = JobWorld::new(1, 5);
    assert!(!starts_beside_stream(&mut world, JobId(1), 40));
    world.submit(1, lasting(1, 8_000));
    assert!(starts_beside_stream(&mut world, JobId(1), 100));
}

/// Guards against a large task that waits for a worker which can never become empty, while another
/// one can.
#[test]
fn suitable_worker() {
    let mut world = JobWorld::new(3, 5);
    world.submit(1_000, lasting(2, 1_000));
    world.run(10);
    assert!(!starts_beside_stream(&mut world, JobId(1), 40));
    world.submit(1, lasting(1, 8_000));
    assert!(starts_beside_stream(&mut world, JobId(1), 100));
}

/// Guards against small jobs that wait while a worker is kept free which a long task still uses, and
/// against a large task that does not start when this one ends.
#[test]
fn long_task() {
    let mut world = JobWorld::new(1, 5);
    let mut spec = step(1, 1_000);
    spec.allows_copies = false;
    world.submit(1_000, job(vec![spec]));
    world.run(3);
    let end = world.now + 20_000;
    for run in world.workers[0].running.values_mut() {
        run.ends = end;
    }
    world.submit(1, lasting(1, 8_000));
    world.run(100);
    assert_small_jobs_run(&mut world);
    let left = (end - world.now) / 50;
    starts_beside_stream(&mut world, JobId(1), left);
    assert!(starts_beside_stream(&mut world, JobId(1), 100));
}

/// Guards against workers that are kept free for more tasks than the limit of their team allows.
#[test]
fn team_limit() {
    let mut world = JobWorld::with_rules(4, 5, rules(amount(12_000, 0)));
    let mut spec = step(4, 1_000);
    spec.max_per_worker = Some(1);
    world.submit(1_000, job(vec![spec]));
    world.run(2);
    for id in 0..4 {
        world.submit(id, lasting(1, 8_000));
    }
    world.run(1);
    assert!(
        reserved(&world) <= 1,
        "{} workers reserved",
        reserved(&world)
    );
}

/// Guards against workers that are kept free for a step which the policy service does not allow on
/// them.
#[test]
fn denied_workers() {
    let mut rules = Arc::unwrap_or_clone(rules(ResourceAmount::default()));
    let mut queue = rules.queues[&QueueName::new("queue")].clone();
    queue.advice = Some(AdviceRule {
        decide_time: Duration::from_millis(50),
        worker_time: Duration::ZERO,
    });
    rules.queues.insert(QueueName::new("advised"), queue);
    let mut world = JobWorld::with_rules(2, 5, Arc::new(rules));
    world.run(2);
    for id in 0..2 {
        let mut order = lasting(1, 1_000);
        order.queue = QueueName::new("advised");
        world.submit(id, order);
    }
    world.run(1);
    let now = at(world.now);
    for request in world.dispatcher.take_advice_requests(now) {
        let answer = AdviceOutcome::Answered {
            allowed: &HashMap::new(),
            valid: Duration::from_secs(3),
        };
        world.dispatcher.note_advice(&request, answer, now);
    }
    assert_small_jobs_run(&mut world);
}

/// Guards against workers that are kept free without an end for tasks that crashed workers and have
/// no room to start alone.
#[test]
fn crashed_tasks() {
    let mut world = JobWorld::new(4, 5);
    let id = world.submit(1, lasting(4, 8_000));
    let step = first_task(id).step;
    (0..4).for_each(|index| world.make_deadly(step.task(index)));
    world.run(80);
    world.submit(1_000, lasting(4, 1_000));
    world.run(160);
    assert_small_jobs_run(&mut world);
}

/// Guards against a worker that is kept free for good, and against a start in the wrong pool, after a
/// queue moved while the start of a suspect on the worker was being stored.
#[test]
fn moved_queue() {
    let mut before = Arc::unwrap_or_clone(rules(ResourceAmount::default()));
    let queue = before.queues[&QueueName::new("queue")].clone();
    before.queues.insert(QueueName::new("second"), queue);
    let mut after = before.clone();
    let moved = after.queues.get_mut(&QueueName::new("queue")).unwrap();
    moved.pool = PoolName::new("other");
    let mut world = JobWorld::with_rules(1, 5, Arc::new(before));
    let id = world.submit(1, job(vec![step(1, 1_000)]));
    world.make_deadly(first_task(id));
    while world.crashes.count(first_task(id)) < 2 {
        world.round();
    }
    world.run(64);
    for _ in 0..10 {
        world.round_without_write();
    }
    let starts = world.starts;
    world.dispatcher.set_rules(Arc::new(after));
    let mut order = job(vec![step(1, 1_000)]);
    order.queue = QueueName::new("second");
    let second = world.submit(2, order);
    world.run(40);
    assert_eq!(world.starts, starts + 1);
    assert_eq!(world.phase(second), JobPhase::Finished);
}

/// Guards against a lasting task that never starts again in a crowded pool, because its worker crashed
/// during its start: it waits for a write before its next start, and others take the room meanwhile.
#[test]
fn lasting_suspect() {
    let mut world = JobWorld::new(2, 5);
    world.run(2);
    let id = world.submit(1, lasting(1, 4_000));
    world.run(1);
    let crashed = world.busy_worker();
    world.crash(crashed);
    // The worker is back after 3.2 s; 4 s later the time counts for which a task may wait.
    let rounds = 64 + 80 + MAX_WAIT;
    for round in 0..rounds {
        // The store takes two rounds for each write.
        if round % 3 == 0 {
            let number = u64::try_from(round).unwrap();
            world.submit(100 + number, job(vec![step(6, 1_000)]));
            world.run(1);
        } else {
            world.round_without_write();
        }
    }
    assert!(is_running(&world, id));
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
