//! Outage of one partition of the store.

mod common;

use std::time::Duration;

use common::{TestCluster, job, run_job, submit, wait_finished};
use sesamedeal_core::jobs::JobId;
use sesamedeal_jobs::SubmitOutcome;
use sesamedeal_jobs::ports::{RowPartition, StoreTable};
use tokio::time::Instant;

/// Maximum time until the end of a job is visible while another partition does not answer. A write
/// without an answer takes 0.9 s.
const VISIBILITY_LIMIT: Duration = Duration::from_secs(3);

fn partition(id: u64) -> RowPartition {
    RowPartition::of(StoreTable::State, &JobId(id).to_string())
}

/// Guards against ends of jobs that are not stored because the partition of another job does not
/// answer: writes of the owner span partitions and fail as a whole.
#[tokio::test]
async fn stores_others() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    let unresponsive = partition(2);
    submit(&node, 2, &job(1, false)).await;
    // The state of job 2 is in the unresponsive partition.
    *cluster.store.unresponsive_partition.lock() = Some(unresponsive);
    let begin = Instant::now();
    let others: Vec<u64> = (10..20)
        .filter(|id| partition(*id) != unresponsive)
        .collect();
    for id in &others {
        let outcome = submit(&node, *id, &job(1, false)).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }
    for id in &others {
        wait_finished(&node, *id).await;
    }
    assert!(begin.elapsed() < VISIBILITY_LIMIT, "{:?}", begin.elapsed());
    *cluster.store.unresponsive_partition.lock() = None;
    wait_finished(&node, 2).await;
}
