//! Owners that lag behind the store while they keep renewing their ownership.

mod common;

use std::time::Duration;

use common::{TestCluster, job, partition, run_job, submit, wait_finished};
use sesamedeal_jobs::ports::StoreTable;
use sesamedeal_jobs::{OwnerPolicy, SubmitOutcome};
use tokio::time::{Instant, sleep};

/// Maximum time for which a job that could run may have no running task.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// Guards against jobs that are not started because the owner cannot read the job table but keeps
/// renewing its ownership.
#[tokio::test]
async fn unread_jobs() {
    let cluster = TestCluster::new(2);
    let client = cluster.store.separate_client();
    let owner = cluster.node_with_store("entry-1", &client);
    run_job(&owner, 1).await;
    let node = cluster.node("entry-2");
    run_job(&node, 2).await;
    client.unresponsive_tables.lock().insert(StoreTable::Job);
    // The follow request that is already in progress is still answered.
    submit(&node, 3, &job(1, false)).await;
    sleep(Duration::from_millis(400)).await;
    let begin = Instant::now();
    for id in 10..16 {
        let outcome = submit(&node, id, &job(1, false)).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }
    for id in 10..16 {
        wait_finished(&node, id).await;
    }
    assert!(begin.elapsed() < IDLE_LIMIT, "{:?}", begin.elapsed());
}

/// Guards against an owner that first lags, is then suspended, and is never replaced: each attempt
/// to replace it for its lag restarted the wait for its expiry.
#[tokio::test]
async fn lagging_owner_suspended() {
    let cluster = TestCluster::new(2);
    let client = cluster.store.separate_client();
    let owner = cluster.node_with_store("entry-1", &client);
    run_job(&owner, 1).await;
    let node = cluster.node("entry-2");
    run_job(&node, 2).await;
    client.unresponsive_tables.lock().insert(StoreTable::Job);
    // No job is submitted that would confirm the lag, but heartbeats with an old position are read.
    sleep(Duration::from_millis(2_500)).await;
    let watch_server = owner.suspend();
    let expiry = OwnerPolicy::default().expiry;
    sleep(expiry * 2).await;
    assert_eq!(node.metrics().epoch(), 2, "the owner was not replaced");
    drop(watch_server);
}

/// Guards against repeated changes of the ownership while writes to the owner table are slow for
/// every instance.
#[tokio::test]
async fn slow_writes() {
    let cluster = TestCluster::new(2);
    let first = cluster.node("entry-1");
    run_job(&first, 1).await;
    let second = cluster.node("entry-2");
    run_job(&second, 2).await;
    *cluster.store.owner_delay.lock() = Duration::from_millis(850);
    for id in 10..60 {
        submit(&second, id, &job(1, false)).await;
        sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(first.metrics().epoch(), 1, "the owner was replaced");
}

/// Guards against delaying the jobs of all partitions because one partition of the store does not
/// answer.
#[tokio::test]
async fn unresponsive_partition() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    let unresponsive = partition(10);
    cluster.store.silence([unresponsive]);
    cluster
        .store
        .withholds_changes
        .store(true, std::sync::atomic::Ordering::Release);
    // The follow request that is already in progress is still answered.
    submit(&node, 2, &job(1, false)).await;
    sleep(Duration::from_millis(600)).await;
    let begin = Instant::now();
    let others: Vec<u64> = (20..28)
        .filter(|id| partition(*id) != unresponsive)
        .collect();
    for id in &others {
        let outcome = submit(&node, *id, &job(1, false)).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }
    for id in &others {
        wait_finished(&node, *id).await;
    }
    assert!(begin.elapsed() < IDLE_LIMIT, "{:?}", begin.elapsed());
}
