//! Load pattern: a surge in which more records change than fit into a write.

mod jobs;

use jobs::{JobWorld, at, job, step};
use sesamedeal_core::jobs::{JobId, JobPhase, RecordBatch};

/// Rows of a write.
const ROWS: usize = 12;

/// A world in which `count` jobs of two tasks have begun and nothing is stored yet.
fn begun_world(count: u64) -> JobWorld {
    let mut world = JobWorld::new(8, 1);
    world.run(1);
    for number in 0..count {
        world.submit(number, job(vec![step(2, 100)]));
    }
    let orders = world.dispatcher.plan(at(world.now), world.now);
    assert!(!orders.is_empty());
    world
}

fn ids(batch: &RecordBatch) -> Vec<JobId> {
    batch.records.iter().map(|(id, _)| *id).collect()
}

/// Guards against a job whose end is stored many seconds late: of 300 changed records the same 24
/// were taken again and again, in the order of a hash table.
#[test]
fn ended_first() {
    let mut world = begun_world(40);
    let last = JobId(39);
    assert!(world.dispatcher.cancel_job(last));
    let batch = world.dispatcher.take_records(ROWS, world.now);
    assert_eq!(ids(&batch)[0], last);
    assert_eq!(batch.records[0].1.phase, JobPhase::Cancelled);
    world.dispatcher.requeue_records(&batch);
    let again = world.dispatcher.take_records(ROWS, world.now);
    assert_eq!(ids(&again)[0], last, "after a write that failed");
}

/// Guards against records that are never taken while others change all the time.
#[test]
fn taken_in_turn() {
    let mut world = begun_world(40);
    let first = ids(&world.dispatcher.take_records(ROWS, world.now));
    assert_eq!(first.len(), ROWS - 2, "room for an ended job is left");
    let mut taken = first;
    for _ in 0..3 {
        taken.extend(ids(&world.dispatcher.take_records(ROWS, world.now)));
    }
    taken.sort_unstable();
    taken.dedup();
    assert_eq!(taken.len(), 40);
    assert!(!world.dispatcher.has_records());
}

/// Guards against workers that list hundreds of ends again and again, because their ends were
/// acknowledged only in a moment in which no record at all had changed.
#[test]
fn ends_acknowledged() {
    let mut world = JobWorld::new(8, 1);
    world.submit(1, job(vec![step(2, 100)]));
    world.run(2);
    while world.dispatcher.open_jobs() > 0 {
        world.round_without_write();
    }
    let keys: Vec<_> = world
        .workers
        .iter()
        .filter_map(|worker| worker.key)
        .collect();
    assert!(
        keys.iter()
            .any(|key| world.dispatcher.processed_end(*key) > 0)
    );
    for number in 100..200 {
        world.submit(number, job(vec![step(1, 100)]));
    }
    // The records of the new jobs wait while the ends before are stored.
    world.dispatcher.plan(at(world.now), world.now);
    let batch = world.dispatcher.take_records(ROWS, world.now);
    world.dispatcher.note_stored(&batch, at(world.now));
    assert!(world.dispatcher.has_records());
    for key in keys {
        let dispatcher = &world.dispatcher;
        assert_eq!(dispatcher.stored_end(key), dispatcher.processed_end(key));
    }
}

/// Guards against records of a part of the store that does not answer, which kept those of all
/// others from being stored.
#[test]
fn closed_part() {
    let mut world = begun_world(40);
    let is_open = |id: JobId| !id.0.is_multiple_of(3);
    assert!(world.dispatcher.cancel_job(JobId(39)));
    assert!(world.dispatcher.cancel_job(JobId(38)));
    let mut taken = Vec::new();
    loop {
        let batch = world
            .dispatcher
            .take_writable_records(ROWS, world.now, is_open);
        if batch.records.is_empty() {
            break;
        }
        taken.extend(ids(&batch));
    }
    assert_eq!(taken[0], JobId(38), "ended jobs first");
    assert!(taken.iter().all(|id| is_open(*id)));
    assert_eq!(taken.len(), 26);
    assert!(!world.dispatcher.has_backlog(ROWS, is_open));
    assert_eq!(
        ids(&world.dispatcher.take_records(ROWS, world.now))[0],
        JobId(39)
    );
}
