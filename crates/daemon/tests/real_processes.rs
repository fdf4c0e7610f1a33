//! Entry instances as processes of their own, which are killed, paused and replaced.

mod common;

use std::time::Duration;

use common::PATIENCE;
use common::cluster::{TestCluster, wait_until};
use common::process::DaemonProcess;
use sesamedeal_core::ids::SessionId;

async fn spawn(cluster: &TestCluster) -> DaemonProcess {
    let settings = "list_lag_ms = 1000\ntask_lease_ms = 2000\nshutdown_deadline_ms = 5000\n";
    DaemonProcess::start(&cluster.platform, cluster.server.address(), settings).await
}

async fn start(processes: usize) -> (TestCluster, Vec<DaemonProcess>) {
    let mut cluster = TestCluster::start(0, 2).await;
    let mut daemons = Vec::new();
    for _ in 0..processes {
        let daemon = spawn(&cluster).await;
        cluster.processes.push(daemon.address);
        daemons.push(daemon);
    }
    for daemon in &daemons {
        wait_until("process answers", PATIENCE, async || {
            cluster.client.status(daemon.address).await.is_some()
        })
        .await;
    }
    cluster.configure().await;
    (cluster, daemons)
}

async fn holder(cluster: &TestCluster, daemon: &DaemonProcess) -> Option<SessionId> {
    let status = cluster.client.status(daemon.address).await?;
    status.controller
}

async fn session(cluster: &TestCluster, daemon: &DaemonProcess) -> SessionId {
    let status = cluster.client.status(daemon.address).await;
    status.expect("status").session
}

/// Guards against a planned stop that leaves its session or ends with an error.
#[tokio::test(flavor = "multi_thread")]
async fn terminates_cleanly() {
    let (cluster, mut daemons) = start(2).await;
    let session = session(&cluster, &daemons[0]).await;
    daemons[0].signal("TERM");
    let status = daemons[0].exit().await;
    assert_eq!(status.code(), Some(0));
    wait_until("session out of the view", PATIENCE, async || {
        let state = cluster.client.state(daemons[1].address).await;
        !state.view.contains(session)
    })
    .await;
}

/// Guards against a killed process that stops the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn killed_process() {
    let (mut cluster, mut daemons) = start(2).await;
    let dead = daemons.remove(0);
    let old = session(&cluster, &dead).await;
    dead.signal("KILL");
    assert!(cluster.platform.remove_instance(&dead.name()));
    cluster.processes.remove(0);
    let address = daemons[0].address;
    wait_until("session out of the view", PATIENCE, async || {
        let state = cluster.client.state(address).await;
        !state.view.contains(old)
    })
    .await;
    cluster.wait_ready().await;
    let code = cluster.client.job(address, "repair", "job").await;
    assert_eq!(code.as_deref(), Some("1000"));
}

/// Guards against a paused controller that writes under its old lease when it resumes.
#[tokio::test(flavor = "multi_thread")]
async fn paused_controller() {
    let (cluster, daemons) = start(3).await;
    let old = holder(&cluster, &daemons[0]).await.expect("controller");
    let mut index = None;
    for (at, daemon) in daemons.iter().enumerate() {
        if session(&cluster, daemon).await == old {
            index = Some(at);
        }
    }
    let paused = &daemons[index.expect("a process of the fleet")];
    let other = daemons
        .iter()
        .find(|daemon| daemon.address != paused.address)
        .expect("another process");
    paused.signal("STOP");
    wait_until("new controller", PATIENCE, async || {
        holder(&cluster, other)
            .await
            .is_some_and(|holder| holder != old)
    })
    .await;
    let new = holder(&cluster, other).await.expect("controller");
    let generation = cluster.client.state(other.address).await.generation;
    paused.signal("CONT");
    wait_until("paused process follows again", PATIENCE, async || {
        holder(&cluster, paused).await == Some(new)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(holder(&cluster, other).await, Some(new));
    let later = cluster.history_after(other.address, generation).await;
    assert!(
        later
            .iter()
            .all(|record| !record.author.contains(&old.to_string()))
    );
}

/// Guards against a rolling replacement that loses jobs or the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement() {
    let (mut cluster, mut daemons) = start(3).await;
    let generation = cluster.client.state(daemons[0].address).await.generation;
    let mut refused = Vec::new();
    for _ in 0..3 {
        let fresh = spawn(&cluster).await;
        cluster.processes.push(fresh.address);
        daemons.push(fresh);
        cluster.wait_ready().await;
        let mut old = daemons.remove(0);
        cluster.processes.remove(0);
        old.signal("TERM");
        let addresses = cluster.processes.clone();
        for address in addresses.iter().cycle().take(60) {
            let code = cluster
                .client
                .job(*address, "repair", "{\"run_ms\": 20}")
                .await;
            if code.as_deref() != Some("1000") {
                refused.push(code);
            }
        }
        assert_eq!(old.exit().await.code(), Some(0));
        assert!(cluster.platform.remove_instance(&old.name()));
        cluster.wait_ready().await;
    }
    assert!(refused.is_empty(), "{refused:?}");
    let state = cluster.client.state(daemons[0].address).await;
    assert!(state.generation >= generation && state.teams.contains_key("clock"));
}
