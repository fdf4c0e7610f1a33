//! Starts that a worker turns away.

mod jobs;

use std::collections::HashSet;

use jobs::{JobWorld, WorldFaults, at, job, step};
use sesamedeal_core::jobs::{JobId, JobPhase, StartOutcome, StepName};

/// Rounds in 5 s, longer than a worker is left out after it has turned a start away.
const QUARANTINE: usize = 100;

/// A world with one worker that turns starts away.
fn refusing_world() -> JobWorld {
    let mut world = JobWorld::new(1, 3);
    world.run(2);
    world.workers[0].is_refusing = true;
    world
}

/// Guards against jobs that count as begun although no worker has taken a start of theirs, also under
/// a later owner.
#[test]
fn waiting_jobs() {
    let mut world = refusing_world();
    let ids: Vec<JobId> = (0..6)
        .map(|id| world.submit(id, job(vec![step(1, 1_000)])))
        .collect();
    for _ in 0..2 {
        world.run(2 * QUARANTINE);
        assert_eq!(world.starts, 0);
        assert_eq!(world.pending(), 6);
        for id in &ids {
            assert_eq!(world.dispatcher.phase(*id), Some(JobPhase::Queued));
            assert_eq!(world.phase(*id), JobPhase::Queued);
        }
        world.take_over();
    }
    world.workers[0].is_refusing = false;
    world.run(2 * QUARANTINE);
    for id in ids {
        assert_eq!(world.phase(id), JobPhase::Finished);
    }
}

/// Guards against a gang that counts as begun although no worker has taken any of its tasks.
#[test]
fn waiting_gang() {
    let mut world = refusing_world();
    let mut spec = step(3, 1_000);
    spec.is_gang = true;
    world.submit(1, job(vec![spec]));
    world.run(QUARANTINE / 2);
    assert_eq!(world.pending(), 1);
    world.workers[0].is_refusing = false;
    world.run(QUARANTINE);
    assert_eq!(world.pending(), 0);
}

/// Guards against a job that counts as waiting again after one of its tasks has begun.
#[test]
fn begun_job() {
    for is_answer_lost in [false, true] {
        let faults = WorldFaults {
            lost_starts: if is_answer_lost { 1.0 } else { 0.0 },
            ..WorldFaults::default()
        };
        let mut world = JobWorld::new(1, 3).with_faults(faults);
        world.run(2);
        let mut spec = step(1, 1_000);
        spec.is_lasting = true;
        world.submit(1, job(vec![spec]));
        world.run(3);
        assert_eq!((world.starts, world.pending()), (1, 0));
        world.workers[0].is_refusing = true;
        world.restart(0);
        world.list_workers();
        for _ in 0..2 {
            world.run(2 * QUARANTINE);
            assert_eq!((world.starts, world.pending()), (1, 0));
            world.take_over();
        }
    }
}

/// Guards against a job that counts as waiting although a worker has listed the end of a task whose
/// start had no answer.
#[test]
fn ended_task() {
    let faults = WorldFaults {
        lost_starts: 1.0,
        failures: 1.0,
        ..WorldFaults::default()
    };
    let mut world = JobWorld::new(1, 3).with_faults(faults);
    world.run(2);
    world.submit(1, job(vec![step(1, 1_000)]));
    world.plan();
    assert_eq!(world.starts, 1);
    world.now += 2_000;
    world.workers[0].is_refusing = true;
    world.run(1);
    assert_eq!(world.pending(), 0);
}

/// Guards against jobs that lose their place or their attempts because a start was turned away.
#[test]
fn kept_place() {
    let mut world = refusing_world();
    let ids: Vec<JobId> = (0..3)
        .map(|id| {
            world.run(2 * QUARANTINE);
            world.submit(id, job(vec![step(1, 8_000)]))
        })
        .collect();
    world.workers[0].is_refusing = false;
    let mut order = Vec::new();
    for _ in 0..2 * QUARANTINE {
        world.run(1);
        let tasks: HashSet<JobId> = world.workers[0]
            .tasks()
            .iter()
            .map(|task| task.step.job)
            .collect();
        order.extend(
            tasks
                .into_iter()
                .filter(|id| !order.contains(id))
                .collect::<Vec<_>>(),
        );
    }
    assert_eq!(order, ids);
    for id in ids {
        assert_eq!(world.phase(id), JobPhase::Finished);
    }
}

/// Guards against a crash that a later owner counts although the worker has turned the start away:
/// the start is stored as a crash before it is sent.
#[test]
fn kept_crashes() {
    let mut world = JobWorld::new(2, 3);
    world.run(2);
    let id = world.submit(1, job(vec![step(1, 1_000)]));
    let task = StepName {
        job: id,
        occurrence: 0,
        step: 0,
    }
    .task(0);
    world.make_deadly(task);
    world.run(1);
    let crashed = world.workers.iter().find(|worker| !worker.is_reachable);
    let crashed = crashed.and_then(|worker| worker.key).unwrap();
    world.dispatcher.note_unresponsive(crashed);
    let (key, order) = loop {
        world.now += 50;
        let now = at(world.now);
        let batch = world.dispatcher.take_records(72, world.now);
        world.dispatcher.note_stored(&batch, now);
        let start = world.plan_starts().pop();
        let batch = world.dispatcher.take_records(72, world.now);
        world.dispatcher.note_stored(&batch, now);
        if let Some(start) = start {
            break start;
        }
    };
    world.answer_start(key, &order, StartOutcome::Unavailable);
    let batch = world.dispatcher.take_records(72, world.now);
    let crashes = batch.records.iter().flat_map(|(_, record)| &record.crashes);
    let crashes: Vec<usize> = crashes.map(|entry| entry.crashes.len()).collect();
    assert_eq!(crashes, [1]);
}
