//! A log with more records than an entry instance reads one by one.

mod common;

use common::PATIENCE;
use common::cluster::{TestCluster, put_team, wait_until};
use sesamedeal_core::ids::OperationId;
use sesamedeal_store::rows::{HEAD, HeadRecord};
use sesamedeal_store::{AppendOutcome, ChangeLog, PlatformClient, PlatformSettings};

/// Guards against an entry instance that cannot start once old records are removed, and against
/// a controller that writes no snapshots.
#[tokio::test(flavor = "multi_thread")]
async fn snapshot_loaded() {
    let mut cluster = TestCluster::start(1, 1).await;
    cluster.configure().await;
    let address = cluster.server.address().to_string();
    let client = PlatformClient::new(PlatformSettings::new(address));
    let log = ChangeLog::new(client.clone());
    for number in 0..600_u32 {
        loop {
            let head = log.head().await.expect("head").0.generation;
            let operation = OperationId(u128::from(number) + 1);
            let change = vec![put_team("clock", 1_000 + number)];
            let outcome = log.append(head, operation, "test", change).await;
            if matches!(outcome, Ok(AppendOutcome::Accepted(_))) {
                break;
            }
        }
    }
    wait_until("snapshot written", PATIENCE, async || {
        let row = client.read_row::<HeadRecord>(HEAD).await.ok().flatten();
        row.is_some_and(|row| {
            let (head, snapshot) = (row.value.generation.0, row.value.snapshot.0);
            snapshot > 0 && head - snapshot < 256
        })
    })
    .await;
    let joined = cluster.add_entry().await;
    cluster.wait_ready().await;
    let state = cluster.client.state(joined).await;
    assert_eq!(state.teams["clock"].limit, 1_599);
}
