//! Entry instances join, leave and die.

mod common;

use std::time::Instant;

use common::PATIENCE;
use common::caller::metric;
use common::cluster::{TestCluster, put_team, wait_until};
use sesamedeal_core::ids::Generation;

/// Attempts that hold units at an entry instance.
const RUNNING: &str = "sesamedeal_running_attempts";

/// Guards against a leaving entry instance that keeps its units or loses jobs, and against one
/// that joins and gets no units.
#[tokio::test(flavor = "multi_thread")]
async fn joins_and_leaves() {
    let mut cluster = TestCluster::start(2, 2).await;
    cluster.configure().await;
    let joined = cluster.add_entry().await;
    cluster.wait_ready().await;
    let code = cluster.client.job(joined, "swap", "job").await;
    assert_eq!(code.as_deref(), Some("1000"));

    let leaving = cluster.entries.remove(0);
    let (address, session) = (leaving.address(), leaving.session());
    let client = cluster.client.clone();
    let running =
        tokio::spawn(async move { client.job(address, "swap", "{\"run_ms\": 800}").await });
    wait_until("job runs", PATIENCE, async || {
        metric(address, RUNNING).await == 1
    })
    .await;
    leaving.shut_down().await;
    let code = running.await.expect("caller");
    assert_eq!(code.as_deref(), Some("1000"), "the running job was lost");
    wait_until("left session out of the view", PATIENCE, async || {
        let state = cluster.client.state(joined).await;
        !state.view.contains(session)
    })
    .await;
    cluster.unlist(address);
    cluster.wait_ready().await;
}

/// Guards against units that never return from a dead entry instance, and against units that
/// return while its tasks may still run.
#[tokio::test(flavor = "multi_thread")]
async fn units_return() {
    let mut cluster = TestCluster::start(2, 2).await;
    cluster.configure().await;
    let limit = vec![put_team("clock", 4)];
    let generation = cluster.client.change(cluster.address(0), limit).await;
    cluster.wait_applied(generation, PATIENCE).await;
    cluster.wait_ready().await;
    let dead = cluster.entries.remove(1);
    let session = dead.session();
    cluster.unlist(dead.address());
    let begin = Instant::now();
    dead.kill().await;
    wait_until("units returned", PATIENCE, async || {
        concurrent_run(&cluster, 4).await
    })
    .await;
    let settings = cluster.settings();
    let earliest = settings.list_lag + settings.task_lease;
    assert!(
        begin.elapsed() > earliest,
        "too early: {:?}",
        begin.elapsed()
    );
    let state = cluster.client.state(cluster.address(0)).await;
    assert!(!state.view.contains(session));
    assert!(state.generation > Generation::ZERO);
}

/// Whether as many jobs of the team run at the same time at the first entry instance.
async fn concurrent_run(cluster: &TestCluster, jobs: u64) -> bool {
    let address = cluster.address(0);
    let runs = (0..jobs).map(|_| cluster.client.job(address, "repair", "{\"run_ms\": 700}"));
    let mut most = 0;
    let watch = async {
        loop {
            most = metric(address, RUNNING).await.max(most);
        }
    };
    let codes = tokio::select! {
        codes = futures::future::join_all(runs) => codes,
        () = watch => unreachable!("it does not end"),
    };
    most == jobs && codes.iter().all(|code| code.as_deref() == Some("1000"))
}
