//! Which entry instance owns the pools when they differ in size.

mod common;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Stage, StageNode, job, run_job, submit, wait_until};
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

fn node(stage: &Stage, name: &str, capacity: InstanceCapacity) -> StageNode {
    stage.sized_node(name, &stage.store, capacity)
}

fn owns(node: &StageNode) -> bool {
    node.metrics().epoch() > 0
}

/// Guards against an owner that falls behind because it is much smaller than others: the pools pass
/// to a larger one that comes, and no task is started again.
#[tokio::test]
async fn larger_takes() {
    let stage = Stage::new(1);
    let small = node(&stage, "small", SMALL);
    *stage.workers.lasting.lock() = true;
    submit(&small, 1, &job(4, true)).await;
    wait_until("four tasks run", async || stage.workers.running() == 4).await;
    let large = node(&stage, "large", LARGE);
    wait_until("the large one owns", async || owns(&large)).await;
    submit(&small, 2, &job(2, true)).await;
    wait_until("six tasks run", async || stage.workers.running() == 6).await;
    assert_eq!(stage.workers.starts.lock().len(), 6, "started again");
    sleep(Duration::from_millis(1_500)).await;
    assert!(owns(&large) && !owns(&small));
    assert_eq!(stage.epochs(), HashSet::from([1, 2]));
}

/// Guards against a small instance that is faster than a large one when the owner is killed.
#[tokio::test]
async fn small_waits() {
    let stage = Stage::new(1);
    let first = node(&stage, "large-1", LARGE);
    run_job(&first, 1).await;
    let mut others: Vec<StageNode> = (0..6)
        .map(|number| node(&stage, &format!("small-{number}"), SMALL))
        .collect();
    others.push(node(&stage, "large-2", LARGE));
    sleep(Duration::from_millis(300)).await;
    drop(first);
    run_job(&others[0], 2).await;
    assert!(owns(&others[6]));
}

/// Guards against pools without an owner when no large instance is left.
#[tokio::test]
async fn small_alone() {
    let stage = Stage::new(1);
    let large = node(&stage, "large", LARGE);
    run_job(&large, 1).await;
    let small = node(&stage, "small", SMALL);
    sleep(Duration::from_millis(300)).await;
    drop(large);
    let begin = Instant::now();
    run_job(&small, 2).await;
    assert!(owns(&small));
    let begin_of_next = Instant::now();
    assert!(begin_of_next - begin < Duration::from_millis(2_500));
    // The next small one does not wait for large ones again.
    let next = node(&stage, "small-2", SMALL);
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

/// Guards against an ownership that passes back and forth while the store turns a large instance
/// away: a small one keeps it until the large one reaches the store again.
#[tokio::test]
async fn larger_returns() {
    let stage = Stage::new(1);
    let access = stage.store.separate_access();
    let large = stage.sized_node("large", &access, LARGE);
    run_job(&large, 1).await;
    let small = node(&stage, "small", SMALL);
    run_job(&small, 2).await;
    access.is_down.store(true, Ordering::Release);
    wait_until("the small one owns", async || owns(&small)).await;
    sleep(Duration::from_millis(2_500)).await;
    assert!(owns(&small) && !owns(&large));
    run_job(&small, 3).await;
    assert_eq!(stage.epochs(), HashSet::from([1, 2]));
    access.is_down.store(false, Ordering::Release);
    wait_until("the large one owns", async || owns(&large)).await;
    run_job(&small, 4).await;
    assert_eq!(stage.epochs(), HashSet::from([1, 2, 3]));
}
