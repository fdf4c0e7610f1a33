//! How soon generations settle.

mod common;

use std::time::Duration;

use common::cluster::TestCluster;
use sesamedeal_daemon::DaemonSettings;

/// Guards against settling that waits for the heartbeat of the session rows, which lengthens each
/// batch of a roll-out.
#[tokio::test(flavor = "multi_thread")]
async fn ahead_of_heartbeat() {
    let mut cluster = TestCluster::start(0, 1).await;
    for _ in 0..2 {
        let settings = DaemonSettings {
            heartbeat: Duration::from_secs(60),
            idle_heartbeat: Duration::from_secs(60),
            ..cluster.settings()
        };
        cluster.add_entry_with(settings).await;
    }
    // Waits until the newest generation has settled, for less than the heartbeat.
    cluster.configure().await;
}
