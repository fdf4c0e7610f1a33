//! Maintenance waves whose progress exceeds a row of the store.

mod common;

use std::collections::HashSet;
use std::time::Duration;

use common::{TestCluster, run_job};
use sesamedeal_jobs::ports::StoreTable;
use tokio::time::{Instant, sleep};

/// Number of instances of the wave. Their names take 84 KB.
const INSTANCES: usize = 4_000;

/// Time after which the progress of the wave is stored: instances that have left the platform are closed
/// after 6 s.
const PROGRESS_TIME: Duration = Duration::from_secs(9);

/// Guards against owners that end one after another because the progress of a wave exceeds a row.
#[tokio::test]
async fn owner_continues() {
    let cluster = TestCluster::new(1);
    let names: Vec<String> = (0..INSTANCES)
        .map(|number| format!("gone-{number:015}"))
        .collect();
    let key = format!("wave/{}", names.join(","));
    cluster.store.put(StoreTable::Intent, &key, b"wave");
    let node = cluster.node("entry-1");
    let begin = Instant::now();
    let mut jobs = 0;
    while begin.elapsed() < PROGRESS_TIME {
        run_job(&node, 100 + jobs).await;
        jobs += 1;
        sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(cluster.epochs(), HashSet::from([1]), "the owner has ended");
}
