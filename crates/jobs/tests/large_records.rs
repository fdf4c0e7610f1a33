//! Records that exceed a row of the store.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{TestCluster, TestNode, job, run_job, wait_until};
use sesamedeal_core::jobs::{JobId, JobOrder, JobPhase, JobRecord, JobSchedule, StepRecord};
use sesamedeal_jobs::BootClock;
use sesamedeal_jobs::ports::StoreTable;
use sesamedeal_wire::codec;

/// Job whose record is about as large as a row.
const LARGE: u64 = 2;

/// Its occurrences. The last one is due in an hour.
const OCCURRENCES: u32 = 768;

/// Maximum size of a row of the store, in bytes.
const ROW_BYTES: usize = 64 * 1024;

fn large_job() -> JobOrder {
    let interval = Duration::from_secs(3_600);
    let past = interval * (OCCURRENCES - 2);
    let mut order = job(1, false);
    order.steps.push(order.steps[0].clone());
    order.schedule = Some(JobSchedule {
        count: OCCURRENCES,
        start_ms: BootClock.unix_ms() - u64::try_from(past.as_millis()).unwrap(),
        interval,
    });
    order
}

/// Record in which the last two due tasks are open, with as many failed runs as fit into a row.
fn full_record() -> JobRecord {
    let done = (0..OCCURRENCES - 2).flat_map(|occurrence| {
        [0, 1].map(|step| StepRecord {
            occurrence,
            step,
            done: vec![1],
            failed: Vec::new(),
        })
    });
    let mut record = JobRecord {
        phase: JobPhase::Running,
        steps: done.collect(),
        ..JobRecord::new()
    };
    let size = |record: &JobRecord| codec::encode(record, usize::MAX).unwrap().len();
    for number in 0..record.steps.len() {
        record.steps[number].failed = vec![(0, vec![1_001, 1_002])];
        if size(&record) > ROW_BYTES - 20 {
            record.steps[number].failed.clear();
            break;
        }
    }
    assert!(size(&record) > ROW_BYTES - 40);
    record
}

fn put(cluster: &TestCluster, table: StoreTable, content: &Bytes) {
    cluster.store.put(table, &JobId(LARGE).to_string(), content);
}

async fn wait_started(cluster: &TestCluster, count: usize) {
    wait_until("the tasks have started", async || {
        cluster.workers.starts.lock().len() >= count
    })
    .await;
}

/// Stores the job and its record, and lets an owner run the tasks that are due.
async fn run_large(cluster: &TestCluster) -> TestNode {
    let order = codec::encode(&large_job(), ROW_BYTES).unwrap();
    let record = codec::encode(&full_record(), ROW_BYTES).unwrap();
    put(cluster, StoreTable::State, &record);
    put(cluster, StoreTable::Job, &order);
    let first = cluster.node("entry-1");
    wait_started(cluster, 2).await;
    first
}

/// Guards against owners that panic one after another when they encode a record that has grown beyond
/// a row, so that no job of any queue runs any more.
#[tokio::test]
async fn owner_continues() {
    let cluster = TestCluster::new(2);
    let first = run_large(&cluster).await;
    run_job(&first, 3).await;
    wait_until("the record is stored", async || rows(&cluster) > 1).await;
    drop(first);
    let second = cluster.node("entry-2");
    run_job(&second, 4).await;
    let starts = cluster.workers.starts.lock().len();
    assert_eq!(starts, 4, "a task of the large job ran again");
}

/// Guards against rows that stay in the store after their job has ended.
#[tokio::test]
async fn rows_removed() {
    let cluster = TestCluster::new(2);
    let first = run_large(&cluster).await;
    wait_until("the record is stored", async || rows(&cluster) > 1).await;
    let key = format!("{}.cancel", JobId(LARGE));
    cluster.store.put(StoreTable::Job, &key, b"1");
    wait_until("one row is left", async || rows(&cluster) == 1).await;
    run_job(&first, 3).await;
}

/// Number of rows of the record.
fn rows(cluster: &TestCluster) -> usize {
    let rows = cluster.store.rows(StoreTable::State);
    let id = JobId(LARGE).to_string();
    rows.iter().filter(|row| row.key.starts_with(&id)).count()
}
