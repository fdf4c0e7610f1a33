//! The order in which job records are written.
//!
//! Load pattern: in a surge, more records change than fit into a write.

mod jobs;

use std::time::Duration;

use jobs::{JobWorld, at, job, step};
use sesamedeal_core::jobs::{
    JobId, JobPhase, JobRecord, JobSchedule, RecordBatch, StartOutcome, StepRecord, WriteLimit,
};

/// Maximum number of rows in a write.
const ROWS: usize = 12;

/// Creates a world with `count` started jobs of two tasks, none of whose records is stored.
fn started_world(count: u64) -> JobWorld {
    let mut world = JobWorld::new(8, 1);
    world.run(1);
    for number in 0..count {
        world.submit(number, job(vec![step(2, 100)]));
    }
    start_tasks(&mut world);
    world
}

/// Plans, and confirms all starts.
fn start_tasks(world: &mut JobWorld) {
    let starts = world.plan_starts();
    assert!(!starts.is_empty());
    for (key, order) in starts {
        world.answer_start(key, &order, StartOutcome::Started);
    }
}

/// Adds a scheduled job most of whose steps are done.
fn add_large_job(world: &mut JobWorld, id: JobId) {
    let (occurrences, steps) = (128, 12);
    let mut spec = step(1, 10);
    spec.amount.memory_mb = 0;
    let mut order = job(vec![spec; steps]);
    order.schedule = Some(JobSchedule {
        count: occurrences,
        start_ms: 0,
        interval: Duration::ZERO,
    });
    let mut record = JobRecord::new();
    for occurrence in 0..occurrences {
        for step in 1..12 {
            record.steps.push(StepRecord {
                occurrence,
                step,
                done: vec![1],
                failed: Vec::new(),
            });
        }
    }
    world
        .dispatcher
        .add_job(id, order, record, false, at(world.now));
}

fn ids(batch: &RecordBatch) -> Vec<JobId> {
    batch.records.iter().map(|(id, _)| *id).collect()
}

/// Guards against a job whose end is stored many seconds late: of 300 changed records, the same 24
/// were taken repeatedly, because hash table order decided.
#[test]
fn ended_first() {
    let mut world = started_world(40);
    let last = JobId(39);
    assert!(world.dispatcher.cancel_job(last));
    let batch = world.dispatcher.take_records(ROWS, world.now);
    assert_eq!(ids(&batch)[0], last);
    assert_eq!(batch.records[0].1.phase, JobPhase::Cancelled);
    world.dispatcher.requeue_records(&batch);
    let again = world.dispatcher.take_records(ROWS, world.now);
    assert_eq!(ids(&again)[0], last, "after a failed write");
}

/// Guards against records that are never taken because others keep changing.
#[test]
fn fair_order() {
    let mut world = started_world(40);
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

/// Guards against workers that report hundreds of run ends repeatedly, because ends were
/// acknowledged only when there were no unstored records at all.
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
    // The earlier ends are stored while the records of the new jobs still wait.
    start_tasks(&mut world);
    let batch = world.dispatcher.take_records(ROWS, world.now);
    world.dispatcher.note_stored(&batch, at(world.now));
    assert!(world.dispatcher.has_records());
    for key in keys {
        let dispatcher = &world.dispatcher;
        assert_eq!(dispatcher.stored_end(key), dispatcher.processed_end(key));
    }
}

/// Guards against an unavailable partition of the store that keeps the records of all other
/// partitions from being stored.
#[test]
fn unavailable_partition() {
    let mut world = started_world(40);
    let is_writable = |id: JobId| !id.0.is_multiple_of(3);
    assert!(world.dispatcher.cancel_job(JobId(39)));
    assert!(world.dispatcher.cancel_job(JobId(38)));
    let mut taken = Vec::new();
    let limit = WriteLimit {
        rows: ROWS,
        bytes: usize::MAX,
    };
    loop {
        let batch = world
            .dispatcher
            .take_writable_records(limit, world.now, is_writable);
        if batch.records.is_empty() {
            break;
        }
        taken.extend(ids(&batch));
    }
    assert_eq!(taken[0], JobId(38), "ended jobs first");
    assert!(taken.iter().all(|id| is_writable(*id)));
    assert_eq!(taken.len(), 26);
    assert!(!world.dispatcher.has_backlog(ROWS, is_writable));
    assert_eq!(
        ids(&world.dispatcher.take_records(ROWS, world.now))[0],
        JobId(39)
    );
}

/// Guards against writes that the store refuses as too large, so that nothing is stored any more: all
/// records had changed during an outage, and only rows were counted.
#[test]
fn large_records() {
    let mut world = JobWorld::new(8, 1);
    world.run(1);
    for number in 0..40 {
        add_large_job(&mut world, JobId(number));
    }
    start_tasks(&mut world);
    let limit = WriteLimit {
        rows: 72,
        bytes: 550_000,
    };
    let mut batches = Vec::new();
    while world.dispatcher.has_records() {
        let now = world.now;
        let batch = world.dispatcher.take_writable_records(limit, now, |_| true);
        let sizes = batch.records.iter().map(|(_, record)| record.size_bound());
        let size: usize = sizes.sum();
        assert!(size < limit.bytes + 256 * 1_024, "{size} bytes");
        batches.push(ids(&batch));
    }
    let mut taken = batches.concat();
    taken.sort_unstable();
    taken.dedup();
    assert_eq!(taken.len(), 40);
}
