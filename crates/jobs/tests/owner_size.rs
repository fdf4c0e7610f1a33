//! Ownership of the pools among entry instances of different capacity.

mod common;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{TestCluster, TestNode, job, run_job, submit, wait_until};
use sesamedeal_core::lease::InstanceCapacity;
use tokio::time::{Instant, sleep};

const SMALL: InstanceCapacity = InstanceCapacity {
    cpu_millis: 120,
    link_mbps: 20,
};

const LARGE: InstanceCapacity = InstanceCapacity {
    cpu_millis: 500,
    link_mbps: 200,
};

fn node(cluster: &TestCluster, name: &str, capacity: InstanceCapacity) -> TestNode {
    cluster.node_with_capacity(name, &cluster.store, capacity)
}

fn owns(node: &TestNode) -> bool {
    node.metrics().epoch() > 0
}

/// Guards against an owner that lags because it is much smaller than other instances: a larger
/// instance that joins takes the ownership over, and no task is started twice.
#[tokio::test]
async fn larger_takes_over() {
    let cluster = TestCluster::new(1);
    let small = node(&cluster, "small", SMALL);
    *cluster.workers.is_long_running.lock() = true;
    submit(&small, 1, &job(4, true)).await;
    wait_until("four tasks run", async || cluster.workers.running() == 4).await;
    let large = node(&cluster, "large", LARGE);
    wait_until("the large one owns", async || owns(&large)).await;
    submit(&small, 2, &job(2, true)).await;
    wait_until("six tasks run", async || cluster.workers.running() == 6).await;
    assert_eq!(
        cluster.workers.starts.lock().len(),
        6,
        "a task was started twice"
    );
    sleep(Duration::from_millis(1_500)).await;
    assert!(owns(&large) && !owns(&small));
    assert_eq!(cluster.epochs(), HashSet::from([1, 2]));
}

/// Guards against a small instance that acquires the ownership before a large one can when the
/// owner is killed.
#[tokio::test]
async fn small_waits() {
    let cluster = TestCluster::new(1);
    let first = node(&cluster, "large-1", LARGE);
    run_job(&first, 1).await;
    let mut others: Vec<TestNode> = (0..6)
        .map(|number| node(&cluster, &format!("small-{number}"), SMALL))
        .collect();
    others.push(node(&cluster, "large-2", LARGE));
    sleep(Duration::from_millis(300)).await;
    drop(first);
    run_job(&others[0], 2).await;
    assert!(owns(&others[6]));
}

/// Guards against pools without an owner when all large instances have ended.
#[tokio::test]
async fn small_alone() {
    let cluster = TestCluster::new(1);
    let large = node(&cluster, "large", LARGE);
    run_job(&large, 1).await;
    let small = node(&cluster, "small", SMALL);
    sleep(Duration::from_millis(300)).await;
    drop(large);
    let begin = Instant::now();
    run_job(&small, 2).await;
    assert!(owns(&small));
    let begin_of_next = Instant::now();
    assert!(begin_of_next - begin < Duration::from_millis(2_500));
    // The next small instance does not wait for large ones again.
    let next = node(&cluster, "small-2", SMALL);
    sleep(Duration::from_millis(300)).await;
    drop(small);
    let begin = Instant::now();
    run_job(&next, 3).await;
    assert!(
        begin.elapsed() < Duration::from_millis(1_000),
        "{:?}",
        begin.elapsed()
    );
}

/// Guards against an ownership that alternates between instances while the store refuses the large
/// one: the small instance keeps it until the large one reaches the store again.
#[tokio::test]
async fn larger_returns() {
    let cluster = TestCluster::new(1);
    let client = cluster.store.separate_client();
    let large = cluster.node_with_capacity("large", &client, LARGE);
    run_job(&large, 1).await;
    let small = node(&cluster, "small", SMALL);
    run_job(&small, 2).await;
    client.is_down.store(true, Ordering::Release);
    wait_until("the small one owns", async || owns(&small)).await;
    sleep(Duration::from_millis(2_500)).await;
    assert!(owns(&small) && !owns(&large));
    run_job(&small, 3).await;
    assert_eq!(cluster.epochs(), HashSet::from([1, 2]));
    client.is_down.store(false, Ordering::Release);
    wait_until("the large one owns", async || owns(&large)).await;
    run_job(&small, 4).await;
    assert_eq!(cluster.epochs(), HashSet::from([1, 2, 3]));
}
