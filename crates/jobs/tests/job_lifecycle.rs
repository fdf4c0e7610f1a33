//! Life cycle of a job from its acceptance to its end.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use assert_matches::assert_matches;
use common::{TestCluster, job, phase, run_job, submit, wait_finished, wait_until};
use sesamedeal_core::ids::QueueName;
use sesamedeal_core::jobs::{JobId, JobPhase};
use sesamedeal_jobs::ports::StoreTable;
use sesamedeal_jobs::{CancelOutcome, StatusOutcome, SubmitOutcome};
use tokio::time::{Instant, sleep};

fn short_deadline() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

/// Guards against jobs that are accepted but not run, and against rows that are never deleted.
#[tokio::test]
async fn runs_jobs() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    for id in 0..8 {
        assert_eq!(
            submit(&node, id, &job(3, false)).await,
            SubmitOutcome::Accepted
        );
    }
    for id in 0..8 {
        wait_finished(&node, id).await;
    }
    assert!(cluster.store.rows(StoreTable::Job).is_empty());
    assert_eq!(cluster.workers.starts.lock().len(), 24);
}

/// Guards against running a job twice when its caller submits it again under the same id.
#[tokio::test]
async fn same_id() {
    let cluster = TestCluster::new(1);
    let (first, second) = (cluster.node("entry-1"), cluster.node("entry-2"));
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
    assert_eq!(cluster.workers.starts.lock().len(), 1);
}

/// Guards against refusing a job that the store has written without sending an answer.
#[tokio::test]
async fn lost_answer() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    wait_until("there is an owner", async || {
        node.api().pending(&QueueName::new("queue")).is_some()
    })
    .await;
    cluster.store.loses_answers.store(true, Ordering::Release);
    let outcome = submit(&node, 1, &job(1, false)).await;
    cluster.store.loses_answers.store(false, Ordering::Release);
    assert_eq!(
        outcome,
        SubmitOutcome::Accepted,
        "the second attempt finds the row"
    );
    wait_finished(&node, 1).await;
}

/// Guards against overloading a store that recovers. All callers were once let through together
/// each time the refusal period ended, and each of their calls had to time out.
#[tokio::test]
async fn single_probe() {
    let cluster = TestCluster::new(1);
    let owner = cluster.node("entry-1");
    run_job(&owner, 1).await;
    let client = cluster.store.separate_client();
    let node = cluster.node_with_store("entry-2", &client);
    run_job(&node, 2).await;
    client.is_unresponsive.store(true, Ordering::Release);
    wait_until("the store counts as down", async || {
        submit(&node, 3, &job(1, false)).await;
        node.api().health().is_down()
    })
    .await;
    sleep(Duration::from_millis(500)).await;
    let before = client.calls.load(Ordering::Acquire);
    let orders = (10..30).map(|id| {
        let node = &node;
        async move { submit(node, id, &job(1, false)).await }
    });
    futures::future::join_all(orders).await;
    let calls = client.calls.load(Ordering::Acquire) - before;
    // One caller is let through. It retries its call, which may have taken effect, until its
    // deadline of 2 s.
    assert!(calls <= 3, "{calls} calls");
}

/// Guards against callers that wait too long, or get a wrong answer, while the store is down.
#[tokio::test]
async fn store_down() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    cluster.store.is_down.store(true, Ordering::Release);
    let begin = Instant::now();
    assert_matches!(
        submit(&node, 1, &job(1, false)).await,
        SubmitOutcome::Refused { .. }
    );
    assert!(
        begin.elapsed() < Duration::from_millis(600),
        "answered late"
    );
    assert!(node.api().health().is_down());
    assert!(node.api().health().refuses_call());
    assert_matches!(
        node.api().status(JobId(1), short_deadline()).await,
        StatusOutcome::Unavailable { .. }
    );
    cluster.store.is_down.store(false, Ordering::Release);
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

/// Guards against jobs that are accepted but not started while the store withholds changes from
/// followers, as it does when it drops its history.
#[tokio::test]
async fn changes_held_back() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    cluster
        .store
        .withholds_changes
        .store(true, Ordering::Release);
    // The follow request that is already in progress is still answered.
    submit(&node, 2, &job(1, false)).await;
    for id in 3..6 {
        let begin = Instant::now();
        run_job(&node, id).await;
        let elapsed = begin.elapsed();
        assert!(elapsed < Duration::from_millis(1_000), "{elapsed:?}");
    }
}

/// Guards against tasks that keep running after their job was cancelled at another entry instance.
#[tokio::test]
async fn cancels_jobs() {
    let cluster = TestCluster::new(2);
    *cluster.workers.is_long_running.lock() = true;
    let (first, second) = (cluster.node("entry-1"), cluster.node("entry-2"));
    submit(&first, 5, &job(4, true)).await;
    wait_until("four tasks run", async || cluster.workers.running() == 4).await;
    let outcome = second.api().cancel(JobId(5), short_deadline()).await;
    assert_eq!(outcome, CancelOutcome::Accepted);
    wait_until("no task runs", async || cluster.workers.running() == 0).await;
    wait_until("the state is stored", async || {
        phase(&first, 5).await == Some(JobPhase::Cancelled)
    })
    .await;
    let unknown = second.api().cancel(JobId(6), short_deadline()).await;
    assert_eq!(unknown, CancelOutcome::Missing);
}

/// Guards against outdated counts of waiting jobs at the owner itself. The loop that follows the
/// ownership rows does not run while its instance is the owner.
#[tokio::test]
async fn counts_waiting() {
    let cluster = TestCluster::new(1);
    *cluster.workers.is_long_running.lock() = true;
    let node = cluster.node("entry-1");
    submit(&node, 1, &job(8, true)).await;
    wait_until("the worker is full", async || {
        cluster.workers.running() == 8
    })
    .await;
    for id in 2..6 {
        submit(&node, id, &job(8, true)).await;
    }
    let queue = QueueName::new("queue");
    wait_until("four jobs wait", async || {
        node.api().pending(&queue) == Some(4)
    })
    .await;
}

/// Guards against a runtime that stops because it cannot decode a row of an external writer.
#[tokio::test]
async fn foreign_rows() {
    let cluster = TestCluster::new(1);
    cluster
        .store
        .put(StoreTable::WorkerList, "stranger", b"\xff\x00");
    cluster.store.put(StoreTable::Intent, "odd", b"\xff\x00");
    cluster.store.put(StoreTable::Job, "not-a-job", b"\xff\x00");
    cluster
        .store
        .put(StoreTable::Job, "00000000000000aa", b"\xff\x00");
    cluster
        .store
        .put(StoreTable::State, "00000000000000ab", b"\xff\x00");
    let node = cluster.node("entry-1");
    submit(&node, 1, &job(2, false)).await;
    wait_finished(&node, 1).await;
}
