//! The age of the owner's list of workers.

mod common;

use std::time::Duration;

use common::{Stage, StageNode, run_job, wait_until};
use sesamedeal_jobs::ports::StoreTable;

/// Age from which the list counts as late.
const LATE_AGE: Duration = Duration::from_secs(4);

/// Guards against a list of workers that grows old unnoticed, and against starts that stop for it:
/// in an outage of the list for everybody known workers have to go on.
#[tokio::test]
async fn silent_list() {
    let stage = Stage::new(2);
    let node = stage.node("entry-1");
    run_job(&node, 1).await;
    let list = StoreTable::WorkerList;
    stage.store.silent_tables.lock().insert(list);
    let is_late = || list_age(&node) > LATE_AGE.as_secs_f64();
    wait_until("the list is late", async || is_late()).await;
    run_job(&node, 2).await;
    assert!(is_late());
    stage.store.silent_tables.lock().clear();
    wait_until("the list is in time", async || !is_late()).await;
}

fn list_age(node: &StageNode) -> f64 {
    let text = String::from_utf8(node.metrics().render()).unwrap();
    let mut lines = text.lines();
    let age = lines.find_map(|line| line.strip_prefix("sesamedeal_worker_list_age_seconds "));
    age.expect("the metric is shown").parse().unwrap()
}
