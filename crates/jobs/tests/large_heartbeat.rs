//! Heartbeats whose content exceeds a row of the store.

mod common;

use common::{TestCluster, job, run_job, wait_until};
use sesamedeal_core::ids::QueueName;
use sesamedeal_core::jobs::{JobId, JobRecord};
use sesamedeal_jobs::ports::StoreTable;
use sesamedeal_wire::codec;

/// Number of queues with a waiting job. Their counts take 80 KB.
const QUEUES: u64 = 400;

fn queue(number: u64) -> QueueName {
    QueueName::new(format!("{number:0200}"))
}

/// Guards against owners that panic one after another because the counts of waiting jobs exceed a row,
/// and against counts of zero for the queues that are left out.
#[tokio::test]
async fn many_queues() {
    let cluster = TestCluster::new(1);
    for number in 0..QUEUES {
        let id = JobId(1_000 + number).to_string();
        let mut order = job(1, false);
        order.queue = queue(number);
        let order = codec::encode(&order, usize::MAX).unwrap();
        let state = codec::encode(&JobRecord::new(), usize::MAX).unwrap();
        cluster.store.put(StoreTable::State, &id, &state);
        cluster.store.put(StoreTable::Job, &id, &order);
    }
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    let count = |number| node.api().pending(&queue(number));
    wait_until("counts are published", async || {
        (0..QUEUES).any(|number| count(number) == Some(1))
    })
    .await;
    let counts = (0..QUEUES).map(count).collect::<Vec<_>>();
    assert!(counts.iter().all(|count| *count != Some(0)), "{counts:?}");
    assert!(counts.iter().flatten().count() > 50, "{counts:?}");
}
