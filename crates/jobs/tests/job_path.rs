//! The path of a job from its acceptance to its end.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use assert_matches::assert_matches;
use common::{Stage, job, phase, run_job, submit, wait_finished, wait_until};
use sesamedeal_core::ids::QueueName;
use sesamedeal_core::jobs::{JobId, JobPhase};
use sesamedeal_jobs::ports::StoreTable;
use sesamedeal_jobs::{CancelOutcome, StatusOutcome, SubmitOutcome};
use tokio::time::{Instant, sleep};

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

/// Guards against jobs that are accepted and not run, and against rows that stay for ever.
#[tokio::test]
async fn runs_jobs() {
    let stage = Stage::new(2);
    let node = stage.node("entry-1");
    for id in 0..8 {
        assert_eq!(
            submit(&node, id, &job(3, false)).await,
            SubmitOutcome::Accepted
        );
    }
    for id in 0..8 {
        wait_finished(&node, id).await;
    }
    assert!(stage.store.rows(StoreTable::Job).is_empty());
    assert_eq!(stage.workers.starts.lock().len(), 24);
}

/// Guards against one job that becomes two when its caller sends it again.
#[tokio::test]
async fn same_id() {
    let stage = Stage::new(1);
    let (first, second) = (stage.node("entry-1"), stage.node("entry-2"));
    assert_eq!(
        submit(&first, 7, &job(1, false)).await,
        SubmitOutcome::Accepted
    );
    wait_finished(&second, 7).await;
    assert_eq!(
        submit(&second, 7, &job(1, false)).await,
        SubmitOutcome::Accepted
    );
    assert_eq!(phase(&first, 7).await, Some(JobPhase::Finished));
    assert_eq!(stage.workers.starts.lock().len(), 1);
}

/// Guards against a refusal of a job that the store has taken without an answer.
#[tokio::test]
async fn lost_answer() {
    let stage = Stage::new(1);
    let node = stage.node("entry-1");
    wait_until("an owner", async || {
        node.api().pending(&QueueName::new("queue")).is_some()
    })
    .await;
    stage.store.loses_answers.store(true, Ordering::Release);
    let outcome = submit(&node, 1, &job(1, false)).await;
    stage.store.loses_answers.store(false, Ordering::Release);
    assert_eq!(
        outcome,
        SubmitOutcome::Accepted,
        "the second attempt finds the row"
    );
    wait_finished(&node, 1).await;
}

/// Guards against a store that is kept busy when it comes back: all callers went through together
/// each time the refusals paused, and each of their calls had to time out.
#[tokio::test]
async fn single_probe() {
    let stage = Stage::new(1);
    let owner = stage.node("entry-1");
    run_job(&owner, 1).await;
    let access = stage.store.separate_access();
    let node = stage.node_with("entry-2", &access);
    run_job(&node, 2).await;
    access.is_silent.store(true, Ordering::Release);
    wait_until("the store counts as down", async || {
        submit(&node, 3, &job(1, false)).await;
        node.api().health().is_down()
    })
    .await;
    sleep(Duration::from_millis(500)).await;
    let before = access.calls.load(Ordering::Acquire);
    let orders = (10..30).map(|id| {
        let node = &node;
        async move { submit(node, id, &job(1, false)).await }
    });
    futures::future::join_all(orders).await;
    let calls = access.calls.load(Ordering::Acquire) - before;
    // One caller repeats its call, which may have taken effect, until its deadline of 2 s.
    assert!(calls <= 3, "{calls} calls");
}

/// Guards against callers that are kept waiting, or told a falsehood, while the store is down.
#[tokio::test]
async fn store_down() {
    let stage = Stage::new(1);
    let node = stage.node("entry-1");
    stage.store.is_down.store(true, Ordering::Release);
    let begin = Instant::now();
    assert_matches!(
        submit(&node, 1, &job(1, false)).await,
        SubmitOutcome::Refused { .. }
    );
    assert!(begin.elapsed() < Duration::from_millis(600), "held");
    assert!(node.api().health().is_down());
    assert!(node.api().health().refuses_call());
    assert_matches!(
        node.api().status(JobId(1), soon()).await,
        StatusOutcome::Unavailable { .. }
    );
    stage.store.is_down.store(false, Ordering::Release);
    wait_until("the store counts as up", async || {
        !node.api().health().is_down()
    })
    .await;
    assert_eq!(phase(&node, 1).await, None, "a refused job never runs");
    assert_eq!(
        submit(&node, 1, &job(1, false)).await,
        SubmitOutcome::Accepted
    );
}

/// Guards against jobs that are accepted and not begun while the store holds back its changes, as it
/// does when it drops its history.
#[tokio::test]
async fn changes_held_back() {
    let stage = Stage::new(1);
    let node = stage.node("entry-1");
    run_job(&node, 1).await;
    stage.store.holds_changes.store(true, Ordering::Release);
    // Requests that were under way are answered once more.
    submit(&node, 2, &job(1, false)).await;
    for id in 3..6 {
        let begin = Instant::now();
        run_job(&node, id).await;
        let elapsed = begin.elapsed();
        assert!(elapsed < Duration::from_millis(1_000), "{elapsed:?}");
    }
}

/// Guards against tasks that go on after the job was cancelled at another entry instance.
#[tokio::test]
async fn cancels_jobs() {
    let stage = Stage::new(2);
    *stage.workers.lasting.lock() = true;
    let (first, second) = (stage.node("entry-1"), stage.node("entry-2"));
    submit(&first, 5, &job(4, true)).await;
    wait_until("four tasks run", async || stage.workers.running() == 4).await;
    let outcome = second.api().cancel(JobId(5), soon()).await;
    assert_eq!(outcome, CancelOutcome::Accepted);
    wait_until("no task runs", async || stage.workers.running() == 0).await;
    wait_until("the state is stored", async || {
        phase(&first, 5).await == Some(JobPhase::Cancelled)
    })
    .await;
    let unknown = second.api().cancel(JobId(6), soon()).await;
    assert_eq!(unknown, CancelOutcome::Missing);
}

/// Guards against counts of waiting jobs that stand still at the owner itself: the loop that
/// follows the ownership does not run while it leads.
#[tokio::test]
async fn counts_waiting() {
    let stage = Stage::new(1);
    *stage.workers.lasting.lock() = true;
    let node = stage.node("entry-1");
    submit(&node, 1, &job(8, true)).await;
    wait_until("the worker is full", async || stage.workers.running() == 8).await;
    for id in 2..6 {
        submit(&node, id, &job(8, true)).await;
    }
    let queue = QueueName::new("queue");
    wait_until("four jobs wait", async || {
        node.api().pending(&queue) == Some(4)
    })
    .await;
}

/// Guards against rows of other writers that stop everything.
#[tokio::test]
async fn foreign_rows() {
    let stage = Stage::new(1);
    stage
        .store
        .put(StoreTable::WorkerList, "stranger", b"\xff\x00");
    stage.store.put(StoreTable::Intent, "odd", b"\xff\x00");
    stage.store.put(StoreTable::Job, "not-a-job", b"\xff\x00");
    stage
        .store
        .put(StoreTable::Job, "00000000000000aa", b"\xff\x00");
    stage
        .store
        .put(StoreTable::State, "00000000000000ab", b"\xff\x00");
    let node = stage.node("entry-1");
    submit(&node, 1, &job(2, false)).await;
    wait_finished(&node, 1).await;
}
