//! Rules that are stored with an accepted job.

mod common;

use common::{TestCluster, job, run_job, submit, wait_until};
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{JobId, JobOrder};
use sesamedeal_jobs::ports::StoreTable;
use sesamedeal_wire::codec;

/// Guards against jobs that no later owner can run once a configuration has removed their queue: it
/// would not know their pool, their attempts and the limit of their team.
#[tokio::test]
async fn stored_order() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    *cluster.workers.is_long_running.lock() = true;
    submit(&node, 2, &job(1, true)).await;
    wait_until("the task runs", async || cluster.workers.running() == 1).await;
    let rows = cluster.store.rows(StoreTable::Job);
    let key = JobId(2).to_string();
    let row = rows.iter().find(|row| row.key == key).unwrap();
    let order: JobOrder = codec::decode(&row.value, usize::MAX).unwrap();
    let rules = order.rules.unwrap();
    assert_eq!(rules.queue.pool, PoolName::new("pool"));
    assert_eq!(rules.queue.attempts, 3);
    assert!(rules.team.is_some());
}
