//! The controller's lease changes hands, and only its holder writes.

mod common;

use common::PATIENCE;
use common::cluster::{TestCluster, wait_until};
use sesamedeal_core::ids::SessionId;

async fn holder(cluster: &TestCluster, entry: usize) -> Option<SessionId> {
    let status = cluster.client.status(cluster.address(entry)).await;
    status.and_then(|status| status.controller)
}

/// Guards against a fleet without a controller after the holder's death, and against units that
/// stay with the dead session.
#[tokio::test(flavor = "multi_thread")]
async fn dead_holder_replaced() {
    let mut cluster = TestCluster::start(3, 1).await;
    cluster.configure().await;
    let old = holder(&cluster, 0).await.expect("controller");
    let index = cluster
        .entries
        .iter()
        .position(|entry| entry.session() == old)
        .expect("a session of the cluster");
    let dead = cluster.entries.swap_remove(index);
    cluster.unlist(dead.address());
    dead.kill().await;
    wait_until("new controller", PATIENCE, async || {
        holder(&cluster, 0)
            .await
            .is_some_and(|holder| holder != old)
    })
    .await;
    wait_until("dead session out of the view", PATIENCE, async || {
        let state = cluster.client.state(cluster.address(1)).await;
        !state.view.contains(old)
    })
    .await;
    cluster.wait_ready().await;
}

/// Guards against two controllers at once: each generation of the controller's changes has to
/// come from the session that held the lease.
#[tokio::test(flavor = "multi_thread")]
async fn one_holder() {
    let cluster = TestCluster::start(4, 2).await;
    cluster.configure().await;
    let mut holders = Vec::new();
    for entry in 0..4 {
        holders.push(holder(&cluster, entry).await);
    }
    assert!(holders[0].is_some());
    assert!(holders.iter().all(|holder| *holder == holders[0]));
    let authors = cluster.controller_authors().await;
    assert_eq!(authors.len(), 1, "controllers: {authors:?}");
}
