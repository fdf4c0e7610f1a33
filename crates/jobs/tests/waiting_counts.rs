//! Counts of waiting jobs that callers are shown.

mod common;

use std::time::Duration;

use common::{Stage, job, run_job, submit};
use sesamedeal_core::ids::QueueName;
use sesamedeal_jobs::ports::StoreTable;
use tokio::time::sleep;

/// Time after its acceptance from which a job has to be in a count: it is visible after 3 s, and a
/// count may be 2 s old.
const COUNTED_AFTER: Duration = Duration::from_secs(5);

/// Guards against a count of zero beside jobs that wait: the owner counts what it has taken, and it
/// renews its ownership while it cannot read the table of jobs.
#[tokio::test]
async fn stale_count() {
    let stage = Stage::new(1);
    let node = stage.node("entry-1");
    run_job(&node, 1).await;
    stage.store.silent_tables.lock().insert(StoreTable::Job);
    // A request for changes that is under way is answered once more.
    submit(&node, 2, &job(1, false)).await;
    sleep(Duration::from_millis(400)).await;
    for id in 10..16 {
        submit(&node, id, &job(1, false)).await;
    }
    sleep(COUNTED_AFTER).await;
    let count = node.api().pending(&QueueName::new("queue"));
    assert!(count.is_none_or(|jobs| jobs >= 6), "{count:?} of 6 jobs");
}
