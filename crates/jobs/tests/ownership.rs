//! Ownership of the pools, and the effect of its changes on runs.

mod common;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{TestCluster, job, run_job, submit, wait_finished, wait_until};
use sesamedeal_jobs::ports::StoreTable;
use tokio::time::{Instant, sleep};

/// Guards against long-running tasks that are started twice, or jobs that are not started, when the
/// owner hands over.
#[tokio::test]
async fn hands_over() {
    let cluster = TestCluster::new(2);
    let mut first = cluster.node("entry-1");
    *cluster.workers.is_long_running.lock() = true;
    submit(&first, 1, &job(4, true)).await;
    wait_until("four tasks run", async || cluster.workers.running() == 4).await;
    let second = cluster.node("entry-2");
    let begin = Instant::now();
    first.hand_over().await;
    submit(&second, 2, &job(2, true)).await;
    wait_until("six tasks run", async || cluster.workers.running() == 6).await;
    assert!(
        begin.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        begin.elapsed()
    );
    assert_eq!(
        cluster.workers.starts.lock().len(),
        6,
        "a task was started again"
    );
    assert_eq!(cluster.epochs(), HashSet::from([1, 2]));
}

/// Guards against waiting for the expiry of an owner whose own instance has restarted, which shows
/// that the earlier process has ended.
#[tokio::test]
async fn same_instance_returns() {
    let cluster = TestCluster::new(1);
    let first = cluster.node("entry-1");
    run_job(&first, 1).await;
    drop(first);
    let begin = Instant::now();
    let again = cluster.node("entry-1");
    run_job(&again, 2).await;
    assert!(
        begin.elapsed() < Duration::from_millis(1_200),
        "{:?}",
        begin.elapsed()
    );
}

/// Guards against pools without an owner because the heartbeat cannot be decoded, as when a later
/// version of the software wrote it.
#[tokio::test]
async fn unusable_heartbeat() {
    let cluster = TestCluster::new(1);
    let first = cluster.node("entry-1");
    run_job(&first, 1).await;
    let second = cluster.node("entry-2");
    run_job(&second, 2).await;
    let _watch_server = first.suspend();
    cluster.store.put(StoreTable::Owner, "pulse", b"\xff\x00");
    run_job(&second, 3).await;
    assert_eq!(cluster.epochs(), HashSet::from([1, 2]));
}

/// Guards against pools without an owner after the owner stopped without closing its connections.
#[tokio::test]
async fn expired_owner() {
    let cluster = TestCluster::new(1);
    let first = cluster.node("entry-1");
    run_job(&first, 1).await;
    let second = cluster.node("entry-2");
    // The connections of the instances that watch it stay open.
    let _watch_server = first.suspend();
    run_job(&second, 2).await;
    assert_eq!(cluster.epochs(), HashSet::from([1, 2]));
}

/// Guards against tasks that are stopped, or ends that are lost, during a short outage of the
/// store.
#[tokio::test]
async fn short_outage() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    submit(&node, 1, &job(8, false)).await;
    wait_until("a task runs", async || cluster.workers.running() > 0).await;
    cluster.store.is_down.store(true, Ordering::Release);
    sleep(Duration::from_millis(800)).await;
    cluster.store.is_down.store(false, Ordering::Release);
    wait_finished(&node, 1).await;
    assert_eq!(
        cluster.workers.starts.lock().len(),
        8,
        "a task was started again"
    );
}

/// Guards against an owner that continues after a worker refused its epoch as outdated, and against
/// pools without an owner after that.
#[tokio::test]
async fn fenced_owner() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    cluster.workers.raise_fence(0, 3 << 32);
    run_job(&node, 2).await;
    assert_eq!(cluster.epochs(), HashSet::from([1, 3]));
}
