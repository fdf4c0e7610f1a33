//! Counts of waiting jobs that are returned to callers.

mod common;

use std::time::Duration;

use common::{TestCluster, job, run_job, submit};
use sesamedeal_core::ids::QueueName;
use sesamedeal_jobs::ports::StoreTable;
use tokio::time::sleep;

/// Time after its acceptance within which a job must be included in the counts: it is visible after
/// 3 s, and a count may be 2 s old.
const COUNT_DELAY: Duration = Duration::from_secs(5);

/// Guards against a count of zero while jobs wait: the owner counts only jobs that it has read, and
/// it keeps renewing its ownership while it cannot read the job table.
#[tokio::test]
async fn stale_count() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    cluster
        .store
        .unresponsive_tables
        .lock()
        .insert(StoreTable::Job);
    // The follow request that is already in progress is still answered.
    submit(&node, 2, &job(1, false)).await;
    sleep(Duration::from_millis(400)).await;
    for id in 10..16 {
        submit(&node, id, &job(1, false)).await;
    }
    sleep(COUNT_DELAY).await;
    let count = node.api().pending(&QueueName::new("queue"));
    assert!(count.is_none_or(|jobs| jobs >= 6), "{count:?} of 6 jobs");
}
