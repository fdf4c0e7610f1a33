//! Changes and entry instances while the platform's services fail.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::PATIENCE;
use common::cluster::{TestCluster, put_team, wait_until};
use sesamedeal_standin::platform::PlatformFaults;
use sesamedeal_wire::admin::AppendReply;

const IN_FORCE: Duration = Duration::from_secs(5);

fn down() -> PlatformFaults {
    PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }
}

/// Guards against an accepted change whose write was not known to have taken effect.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers() {
    let cluster = TestCluster::start(2, 1).await;
    cluster.configure().await;
    cluster.platform.set_faults(PlatformFaults {
        lose_answers: true,
        lose_per_mille: 500,
        ..PlatformFaults::default()
    });
    for round in 0..5 {
        let name = format!("team-{round}");
        let generation = cluster
            .client
            .change(cluster.address(round % 2), vec![put_team(&name, 4)])
            .await;
        cluster.wait_applied(generation, IN_FORCE).await;
        let state = cluster.client.state(cluster.address(0)).await;
        assert!(state.teams.contains_key(name.as_str()));
    }
}

/// Guards against a change that is reported as accepted, or as refused and enters the log later,
/// when the store fails at the moment of the write.
#[tokio::test(flavor = "multi_thread")]
async fn outage_at_write() {
    let cluster = TestCluster::start(2, 1).await;
    cluster.configure().await;
    cluster.platform.set_faults(PlatformFaults {
        late_write_ms: 1_500,
        ..PlatformFaults::default()
    });
    let expected = cluster.client.state(cluster.address(0)).await.generation;
    let change = cluster
        .client
        .append(cluster.address(0), expected, vec![put_team("late", 4)]);
    let outage = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.platform.set_faults(down());
    };
    let (reply, ()) = tokio::join!(change, outage);
    assert_eq!(reply.expect_err("no certain answer"), "1033");
    cluster.platform.set_faults(PlatformFaults::default());
    let generation = cluster
        .client
        .change(cluster.address(1), vec![put_team("next", 4)])
        .await;
    cluster.wait_applied(generation, IN_FORCE).await;
    // Whether the late write took effect is open; what counts is that all agree.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let first = cluster.client.state(cluster.address(0)).await;
    cluster.wait_applied(first.generation, IN_FORCE).await;
    let second = cluster.client.state(cluster.address(1)).await;
    assert!(first.teams.contains_key("next") && second.teams.contains_key("next"));
    assert_eq!(
        first.teams.contains_key("late"),
        second.teams.contains_key("late")
    );
}

/// Guards against an operator who gets no answer or a wrong one during an outage.
#[tokio::test(flavor = "multi_thread")]
async fn outage_refuses() {
    let cluster = TestCluster::start(1, 1).await;
    cluster.configure().await;
    cluster.platform.set_faults(down());
    let expected = cluster.client.state(cluster.address(0)).await.generation;
    let reply = cluster
        .client
        .append(cluster.address(0), expected, vec![put_team("never", 4)])
        .await;
    assert_eq!(reply.expect_err("refused"), "1033");
    cluster.platform.set_faults(PlatformFaults::default());
    wait_until("changes accepted again", PATIENCE, async || {
        let expected = cluster.client.state(cluster.address(0)).await.generation;
        let change = vec![put_team("again", 4)];
        let reply = cluster
            .client
            .append(cluster.address(0), expected, change)
            .await;
        matches!(reply, Ok(AppendReply::Accepted { .. }))
    })
    .await;
    let state = cluster.client.state(cluster.address(0)).await;
    assert!(!state.teams.contains_key("never"));
}

/// Guards against an entry instance that serves an old state, or none, because it started while
/// the store was down.
#[tokio::test(flavor = "multi_thread")]
async fn starts_in_outage() {
    let mut cluster = TestCluster::start(2, 1).await;
    cluster.configure().await;
    let generation = cluster
        .client
        .change(cluster.address(0), vec![put_team("known", 4)])
        .await;
    cluster.wait_applied(generation, IN_FORCE).await;
    cluster.platform.set_faults(down());

    let alone = cluster.settings();
    let lonely = cluster.add_entry_with(alone).await;
    let mut settings = cluster.settings();
    settings.peers = vec![cluster.address(1)];
    let joined = cluster.add_entry_with(settings).await;
    wait_until("state taken from a peer", IN_FORCE, async || {
        cluster.client.state(joined).await.generation >= generation
    })
    .await;
    let code = cluster.client.job(lonely, "swap", "job").await;
    assert_matches!(code.as_deref(), Some("1016"));

    cluster.platform.set_faults(PlatformFaults::default());
    cluster.wait_applied(generation, PATIENCE).await;
    let state = cluster.client.state(lonely).await;
    assert!(state.teams.contains_key("known"));
}
