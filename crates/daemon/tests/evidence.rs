//! Work that needs a key goes on only while the state is known to be current, or the store is
//! unavailable to everyone.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::cluster::{TestCluster, loopback, settings, wait_until};
use common::link::TestLink;
use sesamedeal_daemon::DaemonSettings;
use sesamedeal_standin::platform::PlatformFaults;

/// Time after which evidence has lapsed for certain: 2.5 s plus the exchanges that relay it.
const LAPSED: Duration = Duration::from_secs(4);

/// Starts an entry instance that peers reach through a link.
async fn linked_entry(
    cluster: &mut TestCluster,
    mut settings: DaemonSettings,
) -> (SocketAddr, TestLink) {
    let listen = common::link::free_address().await;
    let link = TestLink::start(listen).await;
    settings.listen = listen;
    settings.advertise = Some(link.address());
    cluster.add_entry_with(settings).await;
    (listen, link)
}

async fn is_accepted(cluster: &TestCluster, address: SocketAddr) -> bool {
    let code = cluster.client.job(address, "repair", "job").await;
    code.as_deref() == Some("1000")
}

/// Guards against an isolated entry instance that accepts keys which others may have withdrawn,
/// or runs work of open queues on units that may belong to others by now.
#[tokio::test(flavor = "multi_thread")]
async fn isolation_stops() {
    // With 48 blocks of slots, each of the three entry instances owns some of its own.
    let mut cluster = TestCluster::start(0, 24).await;
    let own_store = cluster.platform.serve(loopback()).await.expect("platform");
    let (isolated, _own_link) = linked_entry(&mut cluster, settings(own_store.address())).await;
    let shared = cluster.settings();
    let (other, other_link) = linked_entry(&mut cluster, shared.clone()).await;
    let (third, third_link) = linked_entry(&mut cluster, shared).await;
    cluster.configure().await;
    for address in [isolated, other, third] {
        assert!(is_accepted(&cluster, address).await);
    }

    drop(own_store);
    other_link.cut();
    third_link.cut();
    wait_until("keyed work refused", LAPSED, async || {
        let code = cluster.client.job(isolated, "repair", "job").await;
        code.as_deref() == Some("1013")
    })
    .await;
    tokio::time::sleep(LAPSED).await;
    let code = cluster.client.job(isolated, "repair", "job").await;
    assert_eq!(code.as_deref(), Some("1013"));
    let code = cluster.client.job(isolated, "swap", "job").await;
    assert_eq!(code.as_deref(), Some("1013"));
    let code = cluster.client.job(other, "repair", "job").await;
    assert_eq!(code.as_deref(), Some("1000"));
    assert!(is_accepted(&cluster, third).await);
}

/// Guards against a whole outage of the store that stops work.
#[tokio::test(flavor = "multi_thread")]
async fn outage_continues() {
    let cluster = TestCluster::start(8, 2).await;
    cluster.configure().await;
    cluster.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let begin = std::time::Instant::now();
    while begin.elapsed() < 2 * LAPSED {
        for address in cluster.addresses() {
            let code = cluster.client.job(address, "repair", "job").await;
            assert_eq!(code.as_deref(), Some("1000"), "after {:?}", begin.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
