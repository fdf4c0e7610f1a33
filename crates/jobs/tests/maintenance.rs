//! Maintenance waves.

mod common;

use common::{Stage, job, submit, wait_until};
use sesamedeal_jobs::ports::StoreTable;

/// Guards against more instances out than the wave allows, tasks that are ended by maintenance, and
/// waves that are said to be finished too soon.
#[tokio::test]
async fn one_at_a_time() {
    let stage = Stage::new(3);
    *stage.workers.lasting.lock() = true;
    let node = stage.node("entry-1");
    submit(&node, 1, &job(4, true)).await;
    wait_until("four tasks run", async || stage.workers.running() == 4).await;
    stage.store.put(
        StoreTable::Intent,
        "wave/machine-0,machine-1,machine-2",
        b"",
    );
    let (orders, most_out) = stage.wait_wave().await;
    assert_eq!(orders.len(), 3);
    assert_eq!(most_out, 1);
    assert_eq!(stage.fleet.ended(), 0, "maintenance ended a task");
    wait_until("four tasks run", async || stage.workers.running() == 4).await;
}

/// Guards against maintenance that is done twice, or forgotten, when the owner changes in between.
#[tokio::test]
async fn across_takeover() {
    let stage = Stage::new(3);
    let mut first = stage.node("entry-1");
    submit(&first, 1, &job(1, false)).await;
    stage.store.put(
        StoreTable::Intent,
        "wave/machine-0,machine-1,machine-2",
        b"",
    );
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
