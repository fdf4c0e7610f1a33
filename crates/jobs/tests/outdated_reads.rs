//! Reads that return an older state of the store than this process has already seen.

mod common;

use std::sync::atomic::Ordering;
use std::time::Duration;

use assert_matches::assert_matches;
use common::timed_store::{StoreFault, TimedStore};
use common::{TestCluster, job, submit};
use sesamedeal_core::jobs::JobId;
use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_jobs::{StatusOutcome, SubmitOutcome};
use tokio::time::{Instant, sleep};

/// Maximum number of reads of a table a second while they fail.
const READ_RATE: u64 = 10;

/// Guards against denying a job that this process has accepted, because a read lags behind.
#[tokio::test]
async fn accepted_job() {
    let cluster = TestCluster::new(1);
    let node = cluster.node("entry-1");
    cluster.store.freeze_reads();
    let outcome = submit(&node, 1, &job(1, false)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    let deadline = Instant::now() + Duration::from_secs(1);
    let status = node.api().status(JobId(1), deadline).await;
    assert_matches!(status, StatusOutcome::Unavailable { .. });
    assert!(!node.api().health().is_down(), "the store has answered");
}

/// Guards against reading a table again without a pause while the history is gone and reads lag
/// behind it.
#[tokio::test(start_paused = true)]
async fn read_pace() {
    let seconds = 4;
    let from = Duration::from_secs(10);
    let until = from + Duration::from_secs(seconds);
    let lag = Duration::from_secs(5);
    let faults = vec![
        StoreFault::LaggingReads { from, until, lag },
        StoreFault::DroppedHistory { at: from },
        StoreFault::SilentConnections { at: from },
    ];
    let times = [0, 1_000, 6_000, 9_900, 10_000].map(Duration::from_millis);
    let store = TimedStore::new(times.to_vec(), faults);
    let cluster = TestCluster::new(1);
    let node = cluster.node_with_port("entry-1", store.port(), InstanceCapacity::default());
    sleep(until - store.now()).await;
    let reads = store.reads.load(Ordering::Acquire);
    assert!(reads <= READ_RATE * seconds, "{reads} reads");
    sleep(Duration::from_secs(1)).await;
    assert_eq!(node.view().load().unwrap().version, 5);
}
