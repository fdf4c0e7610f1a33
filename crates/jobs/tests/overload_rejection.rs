//! Load pattern: a backlog that takes a pool much longer than a new job may take.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{TestCluster, TestNode, job, phase, run_job, submit};
use sesamedeal_core::jobs::JobOrder;
use sesamedeal_jobs::SubmitOutcome;
use tokio::time::sleep;

/// Id of the large job, which is not among those that are served in any case.
const LARGE_ID: u64 = 1_002;

/// Returns a job that declares 100 times its run time.
fn backlog_job() -> JobOrder {
    let mut order = job(8, false);
    order.steps[0].estimate = Duration::from_secs(10);
    order
}

/// Returns a job with 800 core seconds of work and a short objective.
fn large_job() -> JobOrder {
    let mut order = job(4_000, false);
    order.steps[0].estimate = Duration::from_millis(200);
    order
}

async fn overload(node: &TestNode) {
    for id in 10..110 {
        submit(node, id, &backlog_job()).await;
    }
    sleep(Duration::from_millis(1_500)).await;
}

/// Guards against storing a job that cannot end while of use, and against rejecting a small one.
#[tokio::test]
async fn large_rejected() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    overload(&node).await;
    let outcome = submit(&node, LARGE_ID, &large_job()).await;
    let SubmitOutcome::Overloaded { retry_after } = outcome else {
        panic!("{outcome:?}");
    };
    assert!((1..=8).contains(&retry_after.as_secs()), "{retry_after:?}");
    assert_eq!(
        phase(&node, LARGE_ID).await,
        None,
        "a rejected job never runs"
    );
    let small = submit(&node, 2_000, &job(1, false)).await;
    assert_eq!(small, SubmitOutcome::Accepted);
    // A second submission of a stored job is the same job.
    assert_eq!(
        submit(&node, 2_000, &large_job()).await,
        SubmitOutcome::Accepted
    );
}

/// Guards against a rejection by an old publication, once the owner is silent.
#[tokio::test]
async fn silent_owner() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    let other = cluster.node("entry-2");
    overload(&node).await;
    let outcome = submit(&other, LARGE_ID, &large_job()).await;
    assert!(
        matches!(outcome, SubmitOutcome::Overloaded { .. }),
        "{outcome:?}"
    );
    let watched = node.suspend();
    sleep(Duration::from_millis(2_100)).await;
    let outcome = submit(&other, LARGE_ID, &large_job()).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    drop(watched);
}

/// Guards against a rejection while the store cannot tell whether the job is stored already.
#[tokio::test]
async fn store_down() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    overload(&node).await;
    cluster.store.is_down.store(true, Ordering::Release);
    let outcome = submit(&node, LARGE_ID, &large_job()).await;
    assert!(
        matches!(outcome, SubmitOutcome::Refused { .. }),
        "{outcome:?}"
    );
}
