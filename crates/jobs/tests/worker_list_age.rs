//! Age of the list of workers at the owner.

mod common;

use std::time::Duration;

use common::{TestCluster, TestNode, run_job, wait_until};
use sesamedeal_jobs::ports::StoreTable;

/// Age above which the list counts as late.
const LATE_LIST_AGE: Duration = Duration::from_secs(4);

/// Guards against an outdated list of workers that no metric reports, and against an owner that
/// stops starting tasks because of it: while no instance can read the list, the owner must keep
/// using the workers that it has already read.
#[tokio::test]
async fn unresponsive_list() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    let list = StoreTable::WorkerList;
    cluster.store.unresponsive_tables.lock().insert(list);
    let is_late = || list_age(&node) > LATE_LIST_AGE.as_secs_f64();
    wait_until("the list is late", async || is_late()).await;
    run_job(&node, 2).await;
    assert!(is_late());
    cluster.store.unresponsive_tables.lock().clear();
    wait_until("the list is up to date", async || !is_late()).await;
}

fn list_age(node: &TestNode) -> f64 {
    let text = String::from_utf8(node.metrics().render()).unwrap();
    let mut lines = text.lines();
    let age = lines.find_map(|line| line.strip_prefix("sesamedeal_worker_list_age_seconds "));
    age.expect("the metric is rendered").parse().unwrap()
}
