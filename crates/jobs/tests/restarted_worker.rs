//! Workers that are started again under their name.

mod common;

use std::collections::HashSet;

use common::{TestCluster, run_job};

/// Guards against calls to the former life of a worker that cannot be told from those to the new one,
/// and against an owner that takes the higher fence number of its own calls for that of a later owner.
#[tokio::test]
async fn raised_fence() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    let fences = |cluster: &TestCluster| -> HashSet<u64> {
        let starts = cluster.workers.starts.lock();
        starts.iter().map(|(_, _, fence)| *fence).collect()
    };
    let before = fences(&cluster);
    assert_eq!(before.len(), 1);
    cluster.workers.reboot(0);
    for id in 2..4 {
        run_job(&node, id).await;
    }
    assert!(fences(&cluster).iter().max() > before.iter().max());
    assert_eq!(cluster.epochs(), HashSet::from([1]));
}
