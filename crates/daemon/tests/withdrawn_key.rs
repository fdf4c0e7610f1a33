//! A withdrawn key stops working at every entry instance.

mod common;

use std::time::{Duration, Instant};

use common::PATIENCE;
use common::cluster::{TestCluster, team_key, wait_until};
use sesamedeal_core::fleet::FleetChange;

/// Target of the design page for a withdrawn key.
const DEAD_WITHIN: Duration = Duration::from_secs(3);

/// Guards against an entry instance that goes on accepting a withdrawn key.
#[tokio::test(flavor = "multi_thread")]
async fn dies_everywhere() {
    let cluster = TestCluster::start(8, 4).await;
    cluster.configure().await;
    for address in cluster.addresses() {
        wait_until("key accepted", PATIENCE, async || {
            let code = cluster.client.job(address, "repair", "job").await;
            code.as_deref() == Some("1000")
        })
        .await;
    }
    let withdrawal = vec![FleetChange::WithdrawKey { id: team_key().id }];
    let begin = Instant::now();
    cluster.client.change(cluster.address(3), withdrawal).await;
    let accepted = begin.elapsed();
    let probes = cluster.addresses().into_iter().map(|address| {
        let client = &cluster.client;
        async move {
            wait_until("key refused", DEAD_WITHIN, async || {
                let code = client.job(address, "repair", "job").await;
                code.as_deref() == Some("1005")
            })
            .await
        }
    });
    let times = futures::future::join_all(probes).await;
    println!("accepted after {accepted:?}; refused after {times:?}");
    tokio::time::sleep(DEAD_WITHIN).await;
    for address in cluster.addresses() {
        let code = cluster.client.job(address, "repair", "job").await;
        assert_eq!(code.as_deref(), Some("1005"), "the key came back");
    }
}
