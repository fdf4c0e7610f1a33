//! Changes of ownership that do not wait for its expiry.

mod common;

use std::collections::HashSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{TestCluster, job, run_job, submit, wait_finished, wait_until};
use sesamedeal_jobs::SubmitOutcome;
use tokio::time::{Instant, sleep};

/// Maximum time until another entry instance runs jobs. Below the 2 s after which an ownership
/// expires.
const TAKEOVER_LIMIT: Duration = Duration::from_millis(1_200);

/// Maximum time after the end of an outage until jobs are accepted again.
const ACCEPTANCE_LIMIT: Duration = Duration::from_millis(2_000);

/// Guards against waiting for the expiry after the owner's process is killed. The machine refuses
/// connections to a killed process, so other instances can detect its end at once.
#[tokio::test]
async fn killed_owner() {
    let cluster = TestCluster::new(1);
    let first = cluster.node("entry-1");
    run_job(&first, 1).await;
    let second = cluster.node("entry-2");
    run_job(&second, 2).await;
    let begin = Instant::now();
    drop(first);
    run_job(&second, 3).await;
    assert!(begin.elapsed() < TAKEOVER_LIMIT, "{:?}", begin.elapsed());
    assert_eq!(cluster.epochs(), HashSet::from([1, 2]));
}

/// Guards against pools in which no job starts while the store refuses the calls of the owner but
/// not those of other instances.
#[tokio::test]
async fn refused_owner() {
    let cluster = TestCluster::new(2);
    let client = cluster.store.separate_client();
    let first = cluster.node_with_store("entry-1", &client);
    run_job(&first, 1).await;
    let second = cluster.node("entry-2");
    run_job(&second, 2).await;
    *cluster.workers.is_long_running.lock() = true;
    submit(&second, 3, &job(4, true)).await;
    wait_until("four tasks run", async || cluster.workers.running() == 4).await;
    let starts = cluster.workers.starts.lock().len();
    let begin = Instant::now();
    client.is_down.store(true, Ordering::Release);
    submit(&second, 4, &job(2, true)).await;
    wait_until("six tasks run", async || cluster.workers.running() == 6).await;
    assert!(begin.elapsed() < TAKEOVER_LIMIT, "{:?}", begin.elapsed());
    let after = cluster.workers.starts.lock().len();
    assert_eq!(after, starts + 2, "a task was started twice");
    assert_eq!(cluster.epochs(), HashSet::from([1, 2]));
}

/// Guards against a change or release of the ownership while the store refuses all instances. An
/// owner once offered the ownership although no instance could take it, and had lost it 1.2 s
/// later.
#[tokio::test]
async fn store_down() {
    let cluster = TestCluster::new(1);
    let first = cluster.node("entry-1");
    run_job(&first, 1).await;
    let second = cluster.node("entry-2");
    run_job(&second, 2).await;
    cluster.store.is_down.store(true, Ordering::Release);
    sleep(Duration::from_millis(1_000)).await;
    cluster.store.is_down.store(false, Ordering::Release);
    run_job(&second, 3).await;
    assert_eq!(cluster.epochs(), HashSet::from([1]));
}

/// Guards against a change or release of the ownership while the store does not answer, so that
/// calls of the owner and of the other instances hang until they time out.
#[tokio::test]
async fn store_unresponsive() {
    let cluster = TestCluster::new(2);
    let first = cluster.node("entry-1");
    run_job(&first, 1).await;
    let second = cluster.node("entry-2");
    run_job(&second, 2).await;
    cluster.store.is_unresponsive.store(true, Ordering::Release);
    sleep(Duration::from_millis(4_000)).await;
    assert!(first.metrics().epoch() == 1, "ownership released");
    cluster
        .store
        .is_unresponsive
        .store(false, Ordering::Release);
    let begin = Instant::now();
    // An instance that counts the store as down refuses jobs until it has had an answer.
    wait_until("the job is accepted", async || {
        submit(&second, 3, &job(1, false)).await == SubmitOutcome::Accepted
    })
    .await;
    assert!(begin.elapsed() < ACCEPTANCE_LIMIT, "{:?}", begin.elapsed());
    wait_finished(&second, 3).await;
    assert_eq!(cluster.epochs(), HashSet::from([1]));
}

/// Guards against starting tasks twice after a store outage that outlasts the ownership. It also
/// outlasts a worker's entry on the list of workers, which returns some time after the store.
#[tokio::test]
async fn long_outage() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    *cluster.workers.is_long_running.lock() = true;
    submit(&node, 1, &job(6, true)).await;
    wait_until("six tasks run", async || cluster.workers.running() == 6).await;
    cluster.store.is_down.store(true, Ordering::Release);
    sleep(Duration::from_millis(5_000)).await;
    cluster.unlist_worker(0);
    sleep(Duration::from_millis(2_000)).await;
    cluster.store.is_down.store(false, Ordering::Release);
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(
        cluster.workers.starts.lock().len(),
        6,
        "a task was started twice"
    );
    cluster.list_worker(0);
    submit(&node, 2, &job(2, true)).await;
    wait_until("eight tasks run", async || cluster.workers.running() == 8).await;
    assert_eq!(
        cluster.workers.starts.lock().len(),
        8,
        "a task was started twice"
    );
}
