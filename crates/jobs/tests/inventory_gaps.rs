//! Inventories that leave instances out, or that cannot be read.

mod common;

use std::time::Duration;

use common::{Stage, run_job, wait_until};
use sesamedeal_core::ids::InstanceName;
use sesamedeal_jobs::ports::StoreTable;
use tokio::time::sleep;

/// Time that maintenance takes in these tests. The inventory is read three times meanwhile.
const MAINTENANCE: Duration = Duration::from_millis(1_500);

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
