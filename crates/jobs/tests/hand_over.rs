//! Changes of the ownership that do not wait for its expiry.

mod common;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Stage, job, run_job, submit, wait_until};
use tokio::time::{Instant, sleep};

/// Time within which another entry instance works. An ownership expires after 2 s.
const PROMPT: Duration = Duration::from_millis(1_200);

/// Guards against pools that stand still for the time of the expiry when the owner's process is
/// killed, although its machine refuses connections.
#[tokio::test]
async fn killed_owner() {
    let stage = Stage::new(1);
    let first = stage.node("entry-1");
    run_job(&first, 1).await;
    let second = stage.node("entry-2");
    run_job(&second, 2).await;
    let begin = Instant::now();
    drop(first);
    run_job(&second, 3).await;
    assert!(begin.elapsed() < PROMPT, "{:?}", begin.elapsed());
    assert_eq!(stage.epochs(), HashSet::from([1, 2]));
}

/// Guards against pools that stand still while the store turns only the owner away.
#[tokio::test]
async fn refused_owner() {
    let stage = Stage::new(2);
    let access = stage.store.separate_access();
    let first = stage.node_with("entry-1", &access);
    run_job(&first, 1).await;
    let second = stage.node("entry-2");
    run_job(&second, 2).await;
    *stage.workers.lasting.lock() = true;
    submit(&second, 3, &job(4, true)).await;
    wait_until("four tasks run", async || stage.workers.running() == 4).await;
    let starts = stage.workers.starts.lock().len();
    let begin = Instant::now();
    access.is_down.store(true, Ordering::Release);
    submit(&second, 4, &job(2, true)).await;
    wait_until("six tasks run", async || stage.workers.running() == 6).await;
    assert!(begin.elapsed() < PROMPT, "{:?}", begin.elapsed());
    let after = stage.workers.starts.lock().len();
    assert_eq!(after, starts + 2, "a task was started again");
    assert_eq!(stage.epochs(), HashSet::from([1, 2]));
}

/// Guards against an ownership that changes hands, or is given up, when the store turns everybody
/// away: an owner offered it although nobody could take it, and had lost it 1.2 s later.
#[tokio::test]
async fn store_down() {
    let stage = Stage::new(1);
    let first = stage.node("entry-1");
    run_job(&first, 1).await;
    let second = stage.node("entry-2");
    run_job(&second, 2).await;
    stage.store.is_down.store(true, Ordering::Release);
    sleep(Duration::from_millis(1_000)).await;
    stage.store.is_down.store(false, Ordering::Release);
    run_job(&second, 3).await;
    assert_eq!(stage.epochs(), HashSet::from([1]));
}

/// Guards against the same when the store is silent, so that the questions of the owner and of the
/// others to it hang.
#[tokio::test]
async fn store_silent() {
    let stage = Stage::new(2);
    let first = stage.node("entry-1");
    run_job(&first, 1).await;
    let second = stage.node("entry-2");
    run_job(&second, 2).await;
    stage.store.is_silent.store(true, Ordering::Release);
    sleep(Duration::from_millis(4_000)).await;
    assert!(first.metrics().epoch() == 1, "given up");
    stage.store.is_silent.store(false, Ordering::Release);
    run_job(&second, 3).await;
    assert_eq!(stage.epochs(), HashSet::from([1]));
}

/// Guards against tasks that run twice after an outage of the store that outlasts the ownership and
/// the entries of the workers, which come back some time after the store.
#[tokio::test]
async fn long_outage() {
    let stage = Stage::new(2);
    let node = stage.node("entry-1");
    *stage.workers.lasting.lock() = true;
    submit(&node, 1, &job(6, true)).await;
    wait_until("six tasks run", async || stage.workers.running() == 6).await;
    stage.store.is_down.store(true, Ordering::Release);
    sleep(Duration::from_millis(5_000)).await;
    stage.unlist_worker(0);
    sleep(Duration::from_millis(2_000)).await;
    stage.store.is_down.store(false, Ordering::Release);
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(stage.workers.starts.lock().len(), 6, "started again");
    stage.list_worker(0);
    submit(&node, 2, &job(2, true)).await;
    wait_until("eight tasks run", async || stage.workers.running() == 8).await;
    assert_eq!(stage.workers.starts.lock().len(), 8, "started again");
}
