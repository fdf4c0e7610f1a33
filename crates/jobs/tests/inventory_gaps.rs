//! Inventories that omit instances or cannot be read.

mod common;

use std::time::Duration;

use common::{TestCluster, TestNode, run_job, wait_until};
use sesamedeal_core::ids::InstanceName;
use sesamedeal_jobs::ports::StoreTable;
use tokio::time::sleep;

/// Duration of maintenance in these tests. The owner reads the inventory three times during it.
const MAINTENANCE_TIME: Duration = Duration::from_millis(1_500);

/// Age of the inventory above which the owner orders no maintenance.
const MAX_INVENTORY_AGE: Duration = Duration::from_secs(4);

/// Starts an entry instance that has run a job, and requests a wave.
async fn start_wave(cluster: &TestCluster, wave: &str) -> TestNode {
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    cluster.store.put(StoreTable::Intent, wave, b"");
    node
}

/// Guards against more instances in maintenance than the wave allows if the inventory omits those
/// in maintenance: an omitted instance was once counted as back in service.
#[tokio::test]
async fn unlisted_maintenance() {
    let cluster = TestCluster::new(3);
    cluster.fleet.set_maintenance_time(MAINTENANCE_TIME);
    cluster.fleet.faults.lock().omits_maintained = true;
    let _node = start_wave(&cluster, "wave/machine-0,machine-1,machine-2").await;
    let (orders, max_in_maintenance) = cluster.wait_wave_finished().await;
    assert_eq!(orders.len(), 3);
    assert_eq!(max_in_maintenance, 1);
}

/// Guards against more instances in maintenance than the wave allows after a takeover: the stored
/// progress only tells the successor that the maintenance has started.
#[tokio::test]
async fn unlisted_takeover() {
    let cluster = TestCluster::new(3);
    cluster.fleet.set_maintenance_time(MAINTENANCE_TIME * 2);
    cluster.fleet.faults.lock().omits_maintained = true;
    let mut first = cluster.node("entry-1");
    run_job(&first, 1).await;
    let wave = "wave/machine-0,machine-1,machine-2";
    cluster.store.put(StoreTable::Intent, wave, b"");
    wait_until("one instance is maintained", async || {
        !cluster.fleet.maintained().0.is_empty()
    })
    .await;
    let _second = cluster.node("entry-2");
    first.hand_over().await;
    let (orders, max_in_maintenance) = cluster.wait_wave_finished().await;
    assert_eq!(orders.len(), 3);
    assert_eq!(max_in_maintenance, 1);
}

/// Guards against a wave that never continues because an instance was removed from the platform
/// during its maintenance.
#[tokio::test]
async fn dropped_instance() {
    let cluster = TestCluster::new(2);
    let _node = start_wave(&cluster, "wave/machine-0,machine-1").await;
    wait_until("one instance is maintained", async || {
        !cluster.fleet.maintained().0.is_empty()
    })
    .await;
    let first = cluster.fleet.maintained().0.remove(0);
    cluster.fleet.faults.lock().omitted = Some(first);
    let (orders, max_in_maintenance) = cluster.wait_wave_finished().await;
    assert_eq!(orders.len(), 2);
    assert_eq!(max_in_maintenance, 1);
}

/// Guards against a wave that is reported as finished although one of its instances, omitted by the
/// inventory, has not been maintained.
#[tokio::test]
async fn unlisted_instance() {
    let cluster = TestCluster::new(2);
    let absent = InstanceName::new("machine-1");
    cluster.fleet.faults.lock().omitted = Some(absent);
    let _node = start_wave(&cluster, "wave/machine-0,machine-1").await;
    wait_until("one instance is maintained", async || {
        !cluster.fleet.maintained().0.is_empty()
    })
    .await;
    sleep(Duration::from_secs(2)).await;
    let rows = cluster.store.rows(StoreTable::WaveStatus);
    assert!(
        rows.iter().all(|row| row.value.as_ref() == b"false"),
        "wave is reported as finished"
    );
    cluster.fleet.faults.lock().omitted = None;
    let (orders, _) = cluster.wait_wave_finished().await;
    assert_eq!(orders.len(), 2);
}

/// Guards against ordering maintenance based on an inventory that is too old.
#[tokio::test]
async fn stale_inventory() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    cluster.fleet.faults.lock().is_list_refused = true;
    sleep(MAX_INVENTORY_AGE + Duration::from_millis(500)).await;
    let wave = "wave/machine-0,machine-1";
    cluster.store.put(StoreTable::Intent, wave, b"");
    sleep(Duration::from_secs(1)).await;
    assert!(
        cluster.fleet.maintained().0.is_empty(),
        "maintenance was ordered"
    );
    assert!(inventory_age(&node) > MAX_INVENTORY_AGE.as_secs_f64());
    cluster.fleet.faults.lock().is_list_refused = false;
    let (orders, _) = cluster.wait_wave_finished().await;
    assert_eq!(orders.len(), 2);
    assert!(inventory_age(&node) < MAX_INVENTORY_AGE.as_secs_f64());
}

fn inventory_age(node: &TestNode) -> f64 {
    let text = String::from_utf8(node.metrics().render()).unwrap();
    let mut lines = text.lines();
    let age = lines.find_map(|line| line.strip_prefix("sesamedeal_inventory_age_seconds "));
    age.expect("the metric is rendered").parse().unwrap()
}

/// Guards against a wave that is never finished because one of its instances was removed from the
/// platform before its maintenance.
#[tokio::test]
async fn removed_instance() {
    let cluster = TestCluster::new(2);
    let removed = InstanceName::new("machine-1");
    cluster.fleet.faults.lock().omitted = Some(removed);
    let _node = start_wave(&cluster, "wave/machine-0,machine-1").await;
    let (orders, _) = cluster.wait_wave_finished().await;
    assert_eq!(orders, [InstanceName::new("machine-0")]);
}
