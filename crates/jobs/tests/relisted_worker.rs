//! Workers that return to the list of workers.

mod common;

use std::time::Duration;

use common::{TestCluster, job, run_job, submit, wait_finished};
use tokio::time::sleep;

/// Time within which the owner has received changes of the list.
const DELIVERY_TIME: Duration = Duration::from_millis(20);

/// Guards against tasks that never run: an order to start a task was dropped if its worker had just
/// returned to the list and had not answered since, as after an outage of the store.
#[tokio::test]
async fn waiting_job() {
    for millis in (20..200).step_by(30) {
        let cluster = TestCluster::new(1);
        let node = cluster.node("entry-1");
        run_job(&node, 1).await;
        cluster.unlist_worker(0);
        sleep(DELIVERY_TIME).await;
        submit(&node, 2, &job(3, false)).await;
        sleep(Duration::from_millis(millis)).await;
        cluster.list_worker(0);
        wait_finished(&node, 2).await;
    }
}
