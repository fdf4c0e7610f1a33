//! From an accepted change to the change in force at every entry instance.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::cluster::{TestCluster, put_team};
use sesamedeal_core::ids::Generation;
use sesamedeal_wire::admin::AppendReply;

/// Target of the design page for an accepted configuration.
const IN_FORCE: Duration = Duration::from_secs(5);

/// Guards against an entry instance that does not follow the log.
#[tokio::test(flavor = "multi_thread")]
async fn reaches_everyone() {
    let fleet = TestCluster::start(3, 1).await;
    fleet.configure().await;
    let generation = fleet
        .client
        .change(fleet.address(1), vec![put_team("rota-desk", 4)])
        .await;
    fleet.wait_applied(generation, IN_FORCE).await;
    for address in fleet.addresses() {
        let state = fleet.client.state(address).await;
        assert!(state.teams.contains_key("rota-desk"));
    }
}

/// Guards against two operators who both believe that their change is in force.
#[tokio::test(flavor = "multi_thread")]
async fn race_conflicts() {
    let fleet = TestCluster::start(2, 1).await;
    let expected = fleet.configure().await;
    let expected = fleet
        .client
        .state(fleet.address(0))
        .await
        .generation
        .max(expected);
    fleet.wait_applied(expected, IN_FORCE).await;
    let (first, second) = tokio::join!(
        fleet
            .client
            .append(fleet.address(0), expected, vec![put_team("one", 4)]),
        fleet
            .client
            .append(fleet.address(1), expected, vec![put_team("two", 4)]),
    );
    let replies = [first.expect("reply"), second.expect("reply")];
    let accepted = replies
        .iter()
        .filter(|reply| matches!(reply, AppendReply::Accepted { .. }));
    assert_eq!(accepted.count(), 1);
    let conflict = replies
        .iter()
        .find(|reply| matches!(reply, AppendReply::Conflict { .. }));
    assert_matches!(conflict, Some(AppendReply::Conflict { current, records }) => {
        assert_eq!(*current, expected.next());
        assert_eq!(records.len(), 1);
    });
}

/// Guards against an accepted change that a restart of every entry instance loses.
#[tokio::test(flavor = "multi_thread")]
async fn survives_restarts() {
    let mut fleet = TestCluster::start(2, 1).await;
    fleet.configure().await;
    let generation = fleet
        .client
        .change(fleet.address(0), vec![put_team("kept", 4)])
        .await;
    for entry in std::mem::take(&mut fleet.entries) {
        fleet.unlist(entry.address());
        entry.kill().await;
    }
    let address = fleet.add_entry().await;
    fleet.wait_applied(generation, IN_FORCE).await;
    let state = fleet.client.state(address).await;
    assert!(state.teams.contains_key("kept"));
    assert!(state.generation >= generation && generation > Generation::ZERO);
}
