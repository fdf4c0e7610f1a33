//! Entries of the list of workers that another writer has made unusable.

mod common;

use std::time::Duration;

use common::{TestCluster, job, run_job, submit, wait_until};
use sesamedeal_jobs::ports::StoreTable;
use tokio::time::sleep;

/// Time within which the owner has received changes of the list.
const DELIVERY_TIME: Duration = Duration::from_millis(300);

/// Guards against tasks that start on a worker whose entry has been overwritten with something
/// unusable, and against a list that is no longer followed after such an entry.
#[tokio::test]
async fn overwritten_entry() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    *cluster.workers.is_long_running.lock() = true;
    let list = StoreTable::WorkerList;
    cluster.store.put(list, "worker-0", b"[[[[");
    cluster.store.put(list, "\u{0}odd", b"[[[[");
    sleep(DELIVERY_TIME).await;
    submit(&node, 2, &job(4, true)).await;
    wait_until("four tasks run", async || cluster.workers.running() == 4).await;
    assert_eq!(cluster.workers.running_on(0), 0);
    cluster.list_worker(0);
    submit(&node, 3, &job(8, true)).await;
    wait_until("all tasks run", async || cluster.workers.running() == 12).await;
    assert_eq!(cluster.workers.running_on(0), 4);
}
