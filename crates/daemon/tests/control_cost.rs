//! What control costs at 8 entry instances.

mod common;

use std::time::Duration;

use common::cluster::{TestCluster, put_pool, put_queue, put_team, wait_until};
use hyper::Method;
use sesamedeal_core::fleet::{FleetChange, InstanceState, KeyRecord};
use sesamedeal_core::ids::{KeyId, TeamName};
use sesamedeal_core::keys::{KeySecret, PresentedKey};
use sesamedeal_daemon::ControlTraffic;
use sesamedeal_wire::header;

/// Time over which the cost is measured.
const SPAN: Duration = Duration::from_secs(20);

/// Target of the design page, in bytes per second and entry instance.
const MAX_BYTES: f64 = 3_000.0;

/// Teams and pools of the widest use at today's size; each team has work in each pool.
const TEAMS: u8 = 6;
const POOLS: usize = 5;

/// Workers of each pool.
const POOL_SIZE: usize = 8;

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
    for (before, after) in before.iter().zip(&after) {
        let rate = |after: u64, before: u64| (after - before) as f64 / seconds;
        println!(
            "  peers {:.0} sent, {:.0} received; store {:.0} sent, {:.0} received",
            rate(after.peer_sent, before.peer_sent),
            rate(after.peer_received, before.peer_received),
            rate(after.store_sent, before.store_sent),
            rate(after.store_received, before.store_received),
        );
    }
    println!(
        "bytes/s {:.0} (highest {:.0}), store reads/s {:.1}, writes/s {:.1}",
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
    assert!(idle.bytes < MAX_BYTES, "{idle:?}");
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

/// Guards against a controller whose entry instance needs more than the others may.
#[tokio::test(flavor = "multi_thread")]
async fn controller_within_bounds() {
    let cluster = TestCluster::start(8, 4).await;
    cluster.configure().await;
    let idle = measured(&cluster, tokio::time::sleep(SPAN)).await;
    assert!(idle.highest < MAX_BYTES, "{idle:?}");
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

fn pool_name(pool: usize) -> String {
    format!("pool-{pool}")
}

fn key_of(team: u8) -> PresentedKey {
    PresentedKey {
        id: KeyId::new(format!("key-{team}")),
        secret: KeySecret::new([team; 32]),
    }
}

/// Puts the teams with their keys, and the pools with their queues in force.
async fn configure_pairs(cluster: &TestCluster) {
    let pools = (0..POOLS).flat_map(|pool| {
        let name = pool_name(pool);
        let put = put_pool(&name, POOL_SIZE, false);
        [put, put_queue(&name, &name, false)]
    });
    let teams = (0..TEAMS).flat_map(|team| {
        let name = format!("team-{team}");
        let key = KeyRecord {
            team: TeamName::new(&name),
            hash: key_of(team).secret.hash(),
            withdrawn: false,
        };
        let id = key_of(team).id;
        [put_team(&name, 1_000), FleetChange::GrantKey { id, key }]
    });
    let changes = std::iter::once(put_pool("spare", 0, true));
    let changes = changes.chain(pools).chain(teams).collect();
    cluster.client.change(cluster.address(0), changes).await;
    wait_until("pools staffed", Duration::from_secs(60), async || {
        for address in cluster.addresses() {
            let state = cluster.client.state(address).await;
            let status = cluster.client.status(address).await.expect("status");
            let active = state.instances.values().filter(|instance| {
                instance.pool.as_str() != "spare" && instance.state == InstanceState::Active
            });
            let is_ready = active.count() == POOLS * POOL_SIZE
                && state.view.sessions.len() == cluster.entries.len()
                && status.settled == status.generation;
            if !is_ready {
                return false;
            }
        }
        true
    })
    .await;
}

/// One caller per team and pool at each entry instance. Each waits between two jobs for about as
/// long as a job runs, so that the slots held by a team change all the time.
async fn load_pairs(cluster: &TestCluster) {
    let addresses = cluster.addresses().into_iter();
    let callers = addresses.flat_map(|address| {
        (0..TEAMS).flat_map(move |team| {
            (0..POOLS).map(move |pool| async move {
                let path = format!("/v1/queues/{}/jobs", pool_name(pool));
                let key = key_of(team).header();
                let headers = [(header::DEADLINE_MS, "2000"), ("authorization", &key)];
                let pause = Duration::from_millis(150 + 20 * u64::from(team) + 7 * pool as u64);
                let begin = std::time::Instant::now();
                while begin.elapsed() < SPAN {
                    let body = "{\"run_ms\": 200}";
                    let call = cluster
                        .client
                        .call(Method::POST, address, &path, &headers, body);
                    let answer = call.await.expect("answer");
                    assert_eq!(answer.headers()[header::CODE], "1000");
                    tokio::time::sleep(pause).await;
                }
            })
        })
    });
    futures::future::join_all(callers).await;
}

/// Guards against an exchange whose bytes grow with the pairs of team and pool in use.
#[tokio::test(flavor = "multi_thread")]
async fn many_pairs() {
    let cluster = TestCluster::start(8, POOLS * POOL_SIZE).await;
    configure_pairs(&cluster).await;
    println!("30 pairs");
    let busy = measured(&cluster, load_pairs(&cluster)).await;
    assert!(busy.bytes < MAX_BYTES, "{busy:?}");
}
