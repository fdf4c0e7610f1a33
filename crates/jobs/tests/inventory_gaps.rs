//! Inventories that leave instances out, or that cannot be read.

mod common;

use std::time::Duration;

use common::{Stage, StageNode, run_job, wait_until};
use sesamedeal_core::ids::InstanceName;
use sesamedeal_jobs::ports::StoreTable;
use tokio::time::sleep;

/// Time that maintenance takes in these tests. The inventory is read three times meanwhile.
const MAINTENANCE: Duration = Duration::from_millis(1_500);

/// Age above which the owner gives no orders on the ground of an inventory.
const INVENTORY_LIMIT: Duration = Duration::from_secs(4);

/// Guards against more instances out than the wave allows when the inventory does not list those
/// that are in maintenance: an absent instance counted as back.
#[tokio::test]
async fn unlisted_maintenance() {
    let stage = Stage::new(3);
    stage.fleet.set_maintenance(MAINTENANCE);
    stage.fleet.faults.lock().omits_maintained = true;
    let node = stage.node("entry-1");
    run_job(&node, 1).await;
    let wave = "wave/machine-0,machine-1,machine-2";
    stage.store.put(StoreTable::Intent, wave, b"");
    let (orders, most_out) = stage.wait_wave().await;
    assert_eq!(orders.len(), 3);
    assert_eq!(most_out, 1);
}

/// Guards against more instances out than the wave allows after a takeover: the successor knows
/// only that the maintenance has begun.
#[tokio::test]
async fn unlisted_takeover() {
    let stage = Stage::new(3);
    stage.fleet.set_maintenance(MAINTENANCE * 2);
    stage.fleet.faults.lock().omits_maintained = true;
    let mut first = stage.node("entry-1");
    run_job(&first, 1).await;
    let wave = "wave/machine-0,machine-1,machine-2";
    stage.store.put(StoreTable::Intent, wave, b"");
    wait_until("one instance is maintained", async || {
        !stage.fleet.maintained().0.is_empty()
    })
    .await;
    let _second = stage.node("entry-2");
    first.hand_over().await;
    let (orders, most_out) = stage.wait_wave().await;
    assert_eq!(orders.len(), 3);
    assert_eq!(most_out, 1);
}

/// Guards against a wave that stops for good because an instance left the platform during its
/// maintenance.
#[tokio::test]
async fn dropped_instance() {
    let stage = Stage::new(2);
    let node = stage.node("entry-1");
    run_job(&node, 1).await;
    let wave = "wave/machine-0,machine-1";
    stage.store.put(StoreTable::Intent, wave, b"");
    wait_until("one instance is maintained", async || {
        !stage.fleet.maintained().0.is_empty()
    })
    .await;
    let first = stage.fleet.maintained().0.remove(0);
    stage.fleet.faults.lock().omitted = Some(first);
    let (orders, most_out) = stage.wait_wave().await;
    assert_eq!(orders.len(), 2);
    assert_eq!(most_out, 1);
}

/// Guards against a wave that is said to be finished while an instance of it that the inventory
/// does not list has not been maintained.
#[tokio::test]
async fn unlisted_instance() {
    let stage = Stage::new(2);
    let absent = InstanceName::new("machine-1");
    stage.fleet.faults.lock().omitted = Some(absent);
    let node = stage.node("entry-1");
    run_job(&node, 1).await;
    let wave = "wave/machine-0,machine-1";
    stage.store.put(StoreTable::Intent, wave, b"");
    wait_until("one instance is maintained", async || {
        !stage.fleet.maintained().0.is_empty()
    })
    .await;
    sleep(Duration::from_secs(2)).await;
    let rows = stage.store.rows(StoreTable::WaveStatus);
    assert!(
        rows.iter().all(|row| row.value.as_ref() == b"false"),
        "said to be finished"
    );
    stage.fleet.faults.lock().omitted = None;
    let (orders, _) = stage.wait_wave().await;
    assert_eq!(orders.len(), 2);
}

/// Guards against orders for instances on the ground of an inventory that was read long ago.
#[tokio::test]
async fn old_inventory() {
    let stage = Stage::new(2);
    let node = stage.node("entry-1");
    run_job(&node, 1).await;
    stage.fleet.faults.lock().is_list_refused = true;
    sleep(INVENTORY_LIMIT + Duration::from_millis(500)).await;
    let wave = "wave/machine-0,machine-1";
    stage.store.put(StoreTable::Intent, wave, b"");
    sleep(Duration::from_secs(1)).await;
    assert!(stage.fleet.maintained().0.is_empty(), "ordered");
    assert!(inventory_age(&node) > INVENTORY_LIMIT.as_secs_f64());
    stage.fleet.faults.lock().is_list_refused = false;
    let (orders, _) = stage.wait_wave().await;
    assert_eq!(orders.len(), 2);
    assert!(inventory_age(&node) < INVENTORY_LIMIT.as_secs_f64());
}

fn inventory_age(node: &StageNode) -> f64 {
    let text = String::from_utf8(node.metrics().render()).unwrap();
    let mut lines = text.lines();
    let age = lines.find_map(|line| line.strip_prefix("sesamedeal_inventory_age_seconds "));
    age.expect("the metric is shown").parse().unwrap()
}
