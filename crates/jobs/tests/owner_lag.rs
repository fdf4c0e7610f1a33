//! Owners that fall behind and go on to renew their ownership.

mod common;

use std::time::Duration;

use common::{Stage, job, run_job, submit, wait_finished};
use sesamedeal_core::jobs::JobId;
use sesamedeal_jobs::ports::{RowPartition, StoreTable};
use sesamedeal_jobs::{OwnerPolicy, SubmitOutcome};
use tokio::time::{Instant, sleep};

/// Longest time for which a job that could run may have nothing running.
const IDLE_LIMIT: Duration = Duration::from_secs(3);

/// Guards against jobs that nobody starts while the owner cannot read them, and renews its
/// ownership all the while.
#[tokio::test]
async fn unread_jobs() {
    let stage = Stage::new(2);
    let access = stage.store.separate_access();
    let owner = stage.node_with("entry-1", &access);
    run_job(&owner, 1).await;
    let node = stage.node("entry-2");
    run_job(&node, 2).await;
    access.silent_tables.lock().insert(StoreTable::Job);
    // A request for changes that is under way is answered once more.
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

/// Guards against an owner that falls behind, then falls silent, and is never replaced: attempts to
/// replace it for its lag began the time of its expiry anew.
#[tokio::test]
async fn silent_laggard() {
    let stage = Stage::new(2);
    let access = stage.store.separate_access();
    let owner = stage.node_with("entry-1", &access);
    run_job(&owner, 1).await;
    let node = stage.node("entry-2");
    run_job(&node, 2).await;
    access.silent_tables.lock().insert(StoreTable::Job);
    // No job is accepted that could show the lag, and a late heartbeat is seen.
    sleep(Duration::from_millis(2_500)).await;
    let watched = owner.suspend();
    let expiry = OwnerPolicy::default().expiry;
    sleep(expiry * 2).await;
    assert_eq!(node.metrics().epoch(), 2, "not replaced");
    drop(watched);
}

/// Guards against an ownership that changes hands again and again while writes of the owner are
/// slow for everybody.
#[tokio::test]
async fn slow_writes() {
    let stage = Stage::new(2);
    let first = stage.node("entry-1");
    run_job(&first, 1).await;
    let second = stage.node("entry-2");
    run_job(&second, 2).await;
    *stage.store.owner_delay.lock() = Duration::from_millis(850);
    for id in 10..60 {
        submit(&second, id, &job(1, false)).await;
        sleep(Duration::from_millis(150)).await;
    }
    assert_eq!(first.metrics().epoch(), 1, "replaced");
}

/// Guards against one silent partition of the store that keeps the jobs of all others waiting.
#[tokio::test]
async fn silent_partition() {
    let stage = Stage::new(2);
    let node = stage.node("entry-1");
    run_job(&node, 1).await;
    let partition = |id: u64| RowPartition::of(StoreTable::Job, &JobId(id).to_string());
    let silent = partition(10);
    *stage.store.silent_partition.lock() = Some(silent);
    stage
        .store
        .holds_changes
        .store(true, std::sync::atomic::Ordering::Release);
    // A request for changes that is under way is answered once more.
    submit(&node, 2, &job(1, false)).await;
    sleep(Duration::from_millis(600)).await;
    let begin = Instant::now();
    let others: Vec<u64> = (20..28).filter(|id| partition(*id) != silent).collect();
    for id in &others {
        let outcome = submit(&node, *id, &job(1, false)).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }
    for id in &others {
        wait_finished(&node, *id).await;
    }
    assert!(begin.elapsed() < IDLE_LIMIT, "{:?}", begin.elapsed());
}
