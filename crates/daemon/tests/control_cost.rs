//! What control costs at 8 entry instances.

mod common;

use std::time::Duration;

use common::cluster::{TestCluster, put_team};
use sesamedeal_daemon::ControlTraffic;

/// Time over which the cost is measured.
const SPAN: Duration = Duration::from_secs(20);

/// Target of the design page, in bytes per second and entry instance.
const MAX_BYTES: f64 = 3_000.0;

#[derive(Debug)]
struct CostReport {
    bytes: f64,
    highest: f64,
    reads: f64,
    writes: f64,
}

fn total(traffic: &ControlTraffic) -> u64 {
    traffic.peer_sent + traffic.peer_received + traffic.store_sent + traffic.store_received
}

/// Costs per second: mean and highest bytes of an entry instance, reads and writes of the table
/// service over all.
async fn measured(cluster: &TestCluster, work: impl Future<Output = ()>) -> CostReport {
    let read = || -> Vec<ControlTraffic> {
        let entries = cluster.entries.iter();
        entries.map(|entry| entry.control_traffic()).collect()
    };
    let store = cluster.platform.counters();
    let before = read();
    let begin = std::time::Instant::now();
    work.await;
    let seconds = begin.elapsed().as_secs_f64();
    let after = read();
    let used: Vec<f64> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| (total(after) - total(before)) as f64 / seconds)
        .collect();
    let now = cluster.platform.counters();
    let report = CostReport {
        bytes: used.iter().sum::<f64>() / used.len() as f64,
        highest: used.iter().copied().fold(0.0, f64::max),
        reads: (now.table_reads - store.table_reads) as f64 / seconds,
        writes: (now.table_writes - store.table_writes) as f64 / seconds,
    };
    let peers = after.iter().zip(&before);
    let peers = peers.map(|(after, before)| {
        after.peer_sent + after.peer_received - before.peer_sent - before.peer_received
    });
    let peers = peers.sum::<u64>() as f64 / seconds / used.len() as f64;
    println!(
        "bytes/s {:.0} (with peers {peers:.0}, highest {:.0}), store reads/s {:.1}, writes/s {:.1}",
        report.bytes, report.highest, report.reads, report.writes
    );
    report
}

/// Guards against control that outgrows its share of network and store.
#[tokio::test(flavor = "multi_thread")]
async fn within_bounds() {
    let cluster = TestCluster::start(8, 4).await;
    cluster.configure().await;
    println!("idle");
    let idle = measured(&cluster, tokio::time::sleep(SPAN)).await;
    assert!(idle.highest < MAX_BYTES, "{idle:?}");
    println!("under load");
    let busy = measured(&cluster, load(&cluster)).await;
    assert!(busy.bytes < MAX_BYTES, "{busy:?}");
    println!("accepted change to in force");
    for round in 0..5 {
        let change = vec![put_team("clock", 900 + round)];
        let generation = cluster.client.change(cluster.address(0), change).await;
        let applied = cluster
            .wait_applied(generation, Duration::from_secs(5))
            .await;
        println!("{applied:?}");
    }
}

/// Keeps two callers busy at each entry instance.
async fn load(cluster: &TestCluster) {
    let callers = cluster.addresses().into_iter().flat_map(|address| {
        ["swap", "repair"].map(|queue| async move {
            let begin = std::time::Instant::now();
            while begin.elapsed() < SPAN {
                cluster.client.job(address, queue, "{\"run_ms\": 20}").await;
            }
        })
    });
    futures::future::join_all(callers).await;
}
