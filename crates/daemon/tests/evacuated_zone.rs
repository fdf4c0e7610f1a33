//! Evacuation of an availability zone by real entry instances.

mod common;

use std::time::Duration;

use common::caller::metric;
use common::cluster::{TestCluster, wait_until};
use futures::future::join_all;
use sesamedeal_core::fleet::{DayTime, FleetChange};
use sesamedeal_core::ids::ZoneName;
use sesamedeal_standin::platform::PlatformFaults;
use tokio::time::sleep;

/// Bound of the work page for a request to evacuate a zone.
const STOP_BOUND: Duration = Duration::from_secs(5);

fn evacuate(zone: &str) -> FleetChange {
    FleetChange::EvacuateZone {
        zone: ZoneName::new(zone),
        requested: DayTime::new(20_000, 0),
    }
}

/// Sends twice as many jobs as a worker has slots to each entry instance. Returns whether the worker
/// of `zone-0` runs one of them.
async fn uses_zone(cluster: &TestCluster) -> bool {
    let name = &cluster.backends.names()[0];
    let backend = cluster.backends.backend(name).expect("worker of zone-0");
    let addresses = cluster.addresses().into_iter();
    let jobs = addresses
        .flat_map(|address| [address; 16])
        .map(|address| cluster.client.job(address, "swap", "{\"run_ms\": 100}"));
    let mut is_used = false;
    let watch = async {
        for _ in 0..100 {
            is_used |= backend.used_slots() > 0;
            sleep(Duration::from_millis(10)).await;
        }
    };
    let (codes, ()) = tokio::join!(join_all(jobs), watch);
    assert!(codes.iter().flatten().any(|code| code == "1000"));
    is_used
}

/// Guards against an unknown zone that is accepted, and against starts in the zone by an entry
/// instance that cannot read the request, or joins, because the store is down right after it.
#[tokio::test(flavor = "multi_thread")]
async fn outage_after_request() {
    let mut cluster = TestCluster::start(2, 2).await;
    cluster.configure().await;
    assert!(uses_zone(&cluster).await);
    let (client, address) = (cluster.client.clone(), cluster.address(0));
    let expected = client.state(address).await.generation;
    let unknown = client.append(address, expected, vec![evacuate("zone-9")]);
    assert_eq!(unknown.await.expect_err("refused"), "1032");
    client.change(address, vec![evacuate("zone-0")]).await;
    cluster.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    let mut settings = cluster.settings();
    settings.peers = vec![cluster.address(0)];
    cluster.add_entry_with(settings).await;
    wait_until("request applied", STOP_BOUND, async || {
        let name = "sesamedeal_evacuated_zones";
        let zones = cluster.addresses().into_iter().map(|at| metric(at, name));
        join_all(zones).await == [1, 1, 1]
    })
    .await;
    assert!(!uses_zone(&cluster).await);
    let zones = client.status(address).await.expect("status").zones;
    assert_eq!((zones[0].available, zones[1].available), (0, 1));
    assert!(zones[0].evacuation.is_some_and(|request| request.age_s > 0));
}
