//! Who owns the pools, and what becomes of runs when that changes.

mod common;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Stage, job, run_job, submit, wait_finished, wait_until};
use sesamedeal_jobs::ports::StoreTable;
use tokio::time::{Instant, sleep};

/// Guards against lasting tasks that are started again, or jobs that stand still, when the owner
/// hands over.
#[tokio::test]
async fn hands_over() {
    let stage = Stage::new(2);
    let mut first = stage.node("entry-1");
    *stage.workers.lasting.lock() = true;
    submit(&first, 1, &job(4, true)).await;
    wait_until("four tasks run", async || stage.workers.running() == 4).await;
    let second = stage.node("entry-2");
    let begin = Instant::now();
    first.hand_over().await;
    submit(&second, 2, &job(2, true)).await;
    wait_until("six tasks run", async || stage.workers.running() == 6).await;
    assert!(
        begin.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        begin.elapsed()
    );
    assert_eq!(
        stage.workers.starts.lock().len(),
        6,
        "a task was started again"
    );
    assert_eq!(stage.epochs(), HashSet::from([1, 2]));
}

/// Guards against a wait for the lease of an owner that has ended: its instance came back.
#[tokio::test]
async fn same_instance_returns() {
    let stage = Stage::new(1);
    let first = stage.node("entry-1");
    run_job(&first, 1).await;
    drop(first);
    let begin = Instant::now();
    let again = stage.node("entry-1");
    run_job(&again, 2).await;
    assert!(
        begin.elapsed() < Duration::from_millis(1_200),
        "{:?}",
        begin.elapsed()
    );
}

/// Guards against pools without an owner because a heartbeat cannot be read: it may be that of a later
/// version of the software.
#[tokio::test]
async fn unusable_heartbeat() {
    let stage = Stage::new(1);
    let first = stage.node("entry-1");
    run_job(&first, 1).await;
    let second = stage.node("entry-2");
    run_job(&second, 2).await;
    let _watched = first.suspend();
    stage.store.put(StoreTable::Owner, "pulse", b"\xff\x00");
    run_job(&second, 3).await;
    assert_eq!(stage.epochs(), HashSet::from([1, 2]));
}

/// Guards against pools without an owner after the owner died silently.
#[tokio::test]
async fn expired_owner() {
    let stage = Stage::new(1);
    let first = stage.node("entry-1");
    run_job(&first, 1).await;
    let second = stage.node("entry-2");
    // Its machine still holds the connections of those who watch it.
    let _suspended = first.suspend();
    run_job(&second, 2).await;
    assert_eq!(stage.epochs(), HashSet::from([1, 2]));
}

/// Guards against tasks that are stopped, or ends that are lost, when the store is away for a time.
#[tokio::test]
async fn short_outage() {
    let stage = Stage::new(1);
    let node = stage.node("entry-1");
    submit(&node, 1, &job(8, false)).await;
    wait_until("a task runs", async || stage.workers.running() > 0).await;
    stage.store.is_down.store(true, Ordering::Release);
    sleep(Duration::from_millis(800)).await;
    stage.store.is_down.store(false, Ordering::Release);
    wait_finished(&node, 1).await;
    assert_eq!(
        stage.workers.starts.lock().len(),
        8,
        "a task was started again"
    );
}

/// Guards against an owner that goes on under an epoch that a worker knows to be over, and against
/// pools without an owner after that.
#[tokio::test]
async fn fenced_owner() {
    let stage = Stage::new(1);
    let node = stage.node("entry-1");
    run_job(&node, 1).await;
    stage.workers.raise_fence(0, 3);
    run_job(&node, 2).await;
    assert_eq!(stage.epochs(), HashSet::from([1, 3]));
}
