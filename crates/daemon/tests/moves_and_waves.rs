//! Instances move between pools and are maintained while jobs run.

mod common;

use std::time::Duration;

use common::PATIENCE;
use common::cluster::{TestCluster, put_pool, put_queue, wait_until};
use sesamedeal_core::fleet::{DayTime, FleetChange, InstanceState, WaveStatus};
use sesamedeal_core::ids::{InstanceName, PoolName, WaveName};

/// Keeps jobs running at all entry instances; returns the codes other than 1000.
async fn load(
    cluster: &TestCluster,
    queue: &'static str,
    end: tokio::sync::watch::Receiver<bool>,
) -> Vec<String> {
    let callers = cluster.addresses().into_iter().map(|address| {
        let (client, end) = (cluster.client.clone(), end.clone());
        async move {
            let mut codes = Vec::new();
            while !*end.borrow() {
                let code = client.job(address, queue, "{\"run_ms\": 20}").await;
                let code = code.unwrap_or_else(|| "none".to_owned());
                if code != "1000" {
                    codes.push(code);
                }
            }
            codes
        }
    });
    futures::future::join_all(callers).await.concat()
}

/// Guards against an instance that works for two pools, or that is lost on the way.
#[tokio::test(flavor = "multi_thread")]
async fn instance_moves() {
    let cluster = TestCluster::start(2, 3).await;
    cluster.configure().await;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let moved = async {
        let changes = vec![
            put_pool("rota", 2, false),
            put_pool("desk", 1, false),
            put_queue("desk", "desk", true),
        ];
        cluster.client.change(cluster.address(0), changes).await;
        wait_until("instance in its new pool", PATIENCE, async || {
            let state = cluster.client.state(cluster.address(1)).await;
            let in_pool = |pool: &str| {
                let pool = PoolName::new(pool);
                let members = state.instances.values().filter(|one| one.pool == pool);
                members
                    .filter(|one| one.state == InstanceState::Active)
                    .count()
            };
            in_pool("rota") == 2 && in_pool("desk") == 1
        })
        .await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        stop.send_replace(true);
    };
    let (codes, ()) = tokio::join!(load(&cluster, "swap", stopped), moved);
    let violations = cluster.platform.observer().violations();
    assert_eq!(violations.two_pools, 0);
    assert_eq!(violations.over_budget, 0);
    assert!(codes.is_empty(), "{codes:?}");
}

/// Guards against a wave that exceeds the availability budget, misses an instance or does not
/// end.
#[tokio::test(flavor = "multi_thread")]
async fn wave_within_budget() {
    let cluster = TestCluster::start(2, 3).await;
    cluster.configure().await;
    cluster.platform.observer().set_pool_budget("rota", 1);
    let boots = |state: &sesamedeal_core::fleet::FleetState| -> Vec<(InstanceName, u64)> {
        let instances = state.instances.iter();
        instances
            .map(|(name, one)| (name.clone(), one.boot))
            .collect()
    };
    let before = cluster.client.state(cluster.address(0)).await;
    let wave = WaveName::new("monthly");
    let start = FleetChange::StartWave {
        wave: wave.clone(),
        started: DayTime::new(20_000, 0),
        members: cluster.backends.names(),
    };
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let maintained = async {
        cluster.client.change(cluster.address(0), vec![start]).await;
        wait_until("wave finished", PATIENCE, async || {
            let state = cluster.client.state(cluster.address(1)).await;
            let out = state.unavailable(&PoolName::new("rota"));
            assert!(out <= 1, "{out} instances out of service");
            let status = state.waves.get(&wave).map(|wave| wave.status.clone());
            status == Some(WaveStatus::Finished)
        })
        .await;
        stop.send_replace(true);
    };
    let (codes, ()) = tokio::join!(load(&cluster, "swap", stopped), maintained);
    // The other entry instance may not have read the last changes of the wave yet.
    let after = cluster.client.state(cluster.address(1)).await;
    for ((name, old), (_, new)) in boots(&before).into_iter().zip(boots(&after)) {
        assert!(new > old, "{name} was not rebooted");
    }
    let violations = cluster.platform.observer().violations();
    assert_eq!(violations.over_budget, 0);
    assert_eq!(violations.after_leaving, 0);
    assert!(codes.is_empty(), "{codes:?}");
}
