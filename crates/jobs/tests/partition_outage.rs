//! A partition of the store that does not answer.

mod common;

use std::time::Duration;

use common::{Stage, job, run_job, submit, wait_finished};
use sesamedeal_core::jobs::JobId;
use sesamedeal_jobs::SubmitOutcome;
use sesamedeal_jobs::ports::{RowPartition, StoreTable};
use tokio::time::Instant;

/// Time after which the end of a job has to show beside a silent partition: one write without an
/// answer takes 0.9 s.
const SHOWN_LIMIT: Duration = Duration::from_secs(3);

fn partition(id: u64) -> RowPartition {
    RowPartition::of(StoreTable::State, &JobId(id).to_string())
}

/// Guards against ends that are not stored because another job's partition does not answer: the
/// owner's writes span partitions and fail as a whole.
#[tokio::test]
async fn stores_others() {
    let stage = Stage::new(2);
    let node = stage.node("entry-1");
    run_job(&node, 1).await;
    let silent = partition(2);
    submit(&node, 2, &job(1, false)).await;
    // What becomes of this job belongs into the silent partition.
    *stage.store.silent_partition.lock() = Some(silent);
    let begin = Instant::now();
    let others: Vec<u64> = (10..20).filter(|id| partition(*id) != silent).collect();
    for id in &others {
        let outcome = submit(&node, *id, &job(1, false)).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }
    for id in &others {
        wait_finished(&node, *id).await;
    }
    assert!(begin.elapsed() < SHOWN_LIMIT, "{:?}", begin.elapsed());
    *stage.store.silent_partition.lock() = None;
    wait_finished(&node, 2).await;
}
