//! Execution of maintenance waves.

mod common;

use common::{TestCluster, job, run_job, submit, wait_until};
use sesamedeal_jobs::ports::StoreTable;

/// Guards against more instances in maintenance than the wave allows, tasks that maintenance ends
/// because the instance was not evacuated first, and waves that are reported as finished too early.
#[tokio::test]
async fn one_at_a_time() {
    let cluster = TestCluster::new(3);
    *cluster.workers.is_long_running.lock() = true;
    let node = cluster.node("entry-1");
    submit(&node, 1, &job(4, true)).await;
    wait_until("four tasks run", async || cluster.workers.running() == 4).await;
    cluster.store.put(
        StoreTable::Intent,
        "wave/machine-0,machine-1,machine-2",
        b"",
    );
    let (orders, max_in_maintenance) = cluster.wait_wave_finished().await;
    assert_eq!(orders.len(), 3);
    assert_eq!(max_in_maintenance, 1);
    assert_eq!(cluster.fleet.ended_tasks(), 0, "maintenance ended a task");
    wait_until("four tasks run", async || cluster.workers.running() == 4).await;
}

/// Guards against maintenance that is repeated or skipped when the owner changes during a wave.
#[tokio::test]
async fn across_takeover() {
    let cluster = TestCluster::new(3);
    let mut first = cluster.node("entry-1");
    submit(&first, 1, &job(1, false)).await;
    cluster.store.put(
        StoreTable::Intent,
        "wave/machine-0,machine-1,machine-2",
        b"",
    );
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

/// Guards against a wave that is never finished because the worker of one of its instances is gone
/// from the list of workers while the inventory shows the instance as up.
#[tokio::test]
async fn worker_gone() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    cluster.workers.set_unreachable(1, true);
    cluster.unlist_worker(1);
    let wave = "wave/machine-0,machine-1";
    cluster.store.put(StoreTable::Intent, wave, b"");
    let (orders, max_in_maintenance) = cluster.wait_wave_finished().await;
    assert_eq!(orders.len(), 2);
    assert_eq!(max_in_maintenance, 1);
}
