//! Evacuation of availability zones on request of the operator.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{TestCluster, TestNode, job, run_job, submit, wait_finished, wait_until};
use sesamedeal_jobs::SubmitOutcome;
use sesamedeal_jobs::ports::StoreTable;
use tokio::time::sleep;

/// Row of the request to evacuate the zone of all workers.
const REQUEST: &str = "evacuate/zone";

/// Time in which a start would show: some planning rounds, and a takeover at most.
const START_TIME: Duration = Duration::from_millis(600);

/// Returns the value of a metric of a node.
fn metric(node: &TestNode, name: &str) -> Option<f64> {
    let text = String::from_utf8(node.metrics().render()).unwrap();
    let mut lines = text.lines();
    let line = lines.find(|line| line.split(' ').next() == Some(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

fn starts(cluster: &TestCluster) -> usize {
    cluster.workers.starts.lock().len()
}

/// Waits until a node has taken note of `count` evacuated zones.
async fn wait_noted(node: &TestNode, count: f64) {
    wait_until("the node has taken note", async || {
        metric(node, "sesamedeal_evacuated_zones") == Some(count)
    })
    .await;
}

/// Guards against starts in an evacuated zone, and against a request that holds on after it was
/// withdrawn. The last of several requests in a row counts.
#[tokio::test]
async fn withdrawn_request() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    cluster.store.put(StoreTable::Intent, REQUEST, b"");
    cluster.store.delete(StoreTable::Intent, REQUEST);
    cluster.store.put(StoreTable::Intent, REQUEST, b"");
    wait_noted(&node, 1.0).await;
    sleep(Duration::from_millis(50)).await;
    let before = starts(&cluster);
    submit(&node, 2, &job(2, false)).await;
    sleep(START_TIME).await;
    assert_eq!(starts(&cluster), before, "started in the zone");
    cluster.store.delete(StoreTable::Intent, REQUEST);
    wait_finished(&node, 2).await;
    wait_noted(&node, 0.0).await;
}

/// Guards against an owner that takes over and does not know the request, because the one before was
/// killed right after it was written.
#[tokio::test]
async fn killed_owner() {
    let cluster = TestCluster::new(2);
    let first = cluster.node("entry-1");
    run_job(&first, 1).await;
    let second = cluster.node("entry-2");
    run_job(&second, 2).await;
    cluster.store.put(StoreTable::Intent, REQUEST, b"");
    drop(first);
    wait_noted(&second, 1.0).await;
    let before = starts(&cluster);
    submit(&second, 3, &job(2, false)).await;
    wait_until("another owner is in office", async || {
        second.metrics().epoch() == 2
    })
    .await;
    sleep(START_TIME).await;
    assert_eq!(starts(&cluster), before, "started in the zone");
    cluster.store.delete(StoreTable::Intent, REQUEST);
    wait_finished(&second, 3).await;
}

/// Guards against an entry instance that starts while a zone is evacuated and places tasks before it
/// has read the request.
#[tokio::test]
async fn late_instance() {
    let cluster = TestCluster::new(1);
    cluster.store.put(StoreTable::Intent, REQUEST, b"");
    cluster
        .store
        .put(StoreTable::Intent, "evacuate/unknown", b"");
    let node = cluster.node("entry-1");
    submit(&node, 1, &job(1, false)).await;
    wait_until("the node owns the pools", async || {
        node.metrics().epoch() == 1
    })
    .await;
    sleep(START_TIME).await;
    assert_eq!(starts(&cluster), 0, "started in the zone");
    cluster.store.delete(StoreTable::Intent, REQUEST);
    wait_finished(&node, 1).await;
    wait_noted(&node, 1.0).await;
}

/// Guards against a request that is missed because the store does not answer for 3 s right after it.
#[tokio::test]
async fn silent_store() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    cluster.store.put(StoreTable::Intent, REQUEST, b"");
    cluster.store.is_unresponsive.store(true, Ordering::Release);
    sleep(Duration::from_secs(3)).await;
    cluster
        .store
        .is_unresponsive
        .store(false, Ordering::Release);
    wait_noted(&node, 1.0).await;
    sleep(Duration::from_millis(50)).await;
    let before = starts(&cluster);
    // Right after the outage the instance may still refuse jobs.
    wait_until("a job is accepted", async || {
        submit(&node, 2, &job(1, false)).await == SubmitOutcome::Accepted
    })
    .await;
    sleep(START_TIME).await;
    assert_eq!(starts(&cluster), before, "started in the zone");
    cluster.store.delete(StoreTable::Intent, REQUEST);
    wait_finished(&node, 2).await;
}
