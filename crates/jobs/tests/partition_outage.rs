//! Outage of one partition of the store.

mod common;

use std::ops::Range;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{TestCluster, TestNode, job, partition, run_job, submit, wait_finished};
use sesamedeal_jobs::SubmitOutcome;
use sesamedeal_jobs::ports::RowPartition;
use tokio::time::{Instant, sleep};

/// Maximum time until the end of a job is visible after another partition has stopped answering.
///
/// Sum of the waits: 0.1 s for the run, 0.1 s for the worker's list, 0.23 s until a write without an
/// answer is noticed, 0.11 s for the check of the partitions. The rest is for a busy machine.
const VISIBILITY_LIMIT: Duration = Duration::from_millis(900);

/// Maximum time until ends are stored in a partition that answers again: 0.3 s for the check that was
/// sent just before, and the write. The rest is for a busy machine.
const RETURN_LIMIT: Duration = Duration::from_millis(600);

/// Maximum time from the submission of jobs to the visible end of their runs while changes of the job
/// table do not come: 0.25 s for the follow call, 0.1 s for the unresponsive partition, which the read
/// may wait for twice, 0.1 s for the run and 0.1 s for the worker's list. The rest is for a busy
/// machine.
const INTAKE_LIMIT: Duration = Duration::from_millis(1_000);

/// Submits jobs in partitions other than `silent` and returns the time until all have finished.
async fn time_others(node: &TestNode, ids: Range<u64>, silent: &[RowPartition]) -> Duration {
    let begin = Instant::now();
    let others: Vec<u64> = ids.filter(|id| !silent.contains(&partition(*id))).collect();
    for id in &others {
        let outcome = submit(node, *id, &job(1, false)).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }
    for id in &others {
        wait_finished(node, *id).await;
    }
    begin.elapsed()
}

/// Guards against ends of jobs that are not stored because the partition of another job does not
/// answer: writes of the owner span partitions and fail as a whole.
#[tokio::test]
async fn stores_others() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    let unresponsive = partition(2);
    submit(&node, 2, &job(1, false)).await;
    // The state of job 2 is in the unresponsive partition.
    cluster.store.silence([unresponsive]);
    let time = time_others(&node, 10..20, &[unresponsive]).await;
    assert!(time < VISIBILITY_LIMIT, "{time:?}");
    cluster.store.silence([]);
    wait_finished(&node, 2).await;
}

/// Guards against a loss of time that adds up while partitions stop answering one after the other:
/// each one stops a write that spans it.
#[tokio::test]
async fn successive_outages() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    let mut silent = Vec::new();
    for round in 0..4 {
        let first = 100 + 20 * round;
        // The end of this job has to be stored in the partition that stops answering next.
        let mut ids = first..first + 20;
        let next = ids.find(|id| !silent.contains(&partition(*id))).unwrap();
        submit(&node, next, &job(1, false)).await;
        silent.push(partition(next));
        cluster.store.silence(silent.iter().copied());
        let time = time_others(&node, ids, &silent).await;
        assert!(time < VISIBILITY_LIMIT, "round {round}: {time:?}");
    }
    cluster.store.silence([]);
    wait_finished(&node, 100).await;
    assert_eq!(node.metrics().epoch(), 1, "the ownership was given up");
}

/// Guards against ends that are stored late after their partition answers again, also while another
/// one does not.
#[tokio::test]
async fn returning_partition() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    let other = (3..10).find(|id| partition(*id) != partition(2)).unwrap();
    submit(&node, 2, &job(1, false)).await;
    submit(&node, other, &job(1, false)).await;
    let silent = [partition(2), partition(other)];
    cluster.store.silence(silent);
    time_others(&node, 10..20, &silent).await;
    // The check has just read the partitions in vain.
    for (id, silent) in [(2, vec![partition(other)]), (other, Vec::new())] {
        cluster.store.silence(silent);
        let begin = Instant::now();
        wait_finished(&node, id).await;
        assert!(
            begin.elapsed() < RETURN_LIMIT,
            "{id}: {:?}",
            begin.elapsed()
        );
    }
}

/// Guards against jobs that reach the owner late because changes of the table do not come and each
/// read of its partitions waits for the unresponsive ones.
#[tokio::test]
async fn withheld_changes() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    cluster.store.silence([partition(2)]);
    cluster
        .store
        .withholds_changes
        .store(true, Ordering::Release);
    // The follow request that is already in progress is still answered.
    submit(&node, 3, &job(1, false)).await;
    sleep(Duration::from_millis(600)).await;
    for round in 0..8 {
        let first = 100 + 10 * round;
        let time = time_others(&node, first..first + 3, &[partition(2)]).await;
        assert!(time < INTAKE_LIMIT, "round {round}: {time:?}");
    }
}

/// Guards against a write that was given up and takes effect all the same: the next one is based on
/// an outdated version of the sequence row.
#[tokio::test]
async fn late_write() {
    let cluster = TestCluster::new(2);
    let node = cluster.node("entry-1");
    run_job(&node, 1).await;
    submit(&node, 2, &job(1, false)).await;
    cluster
        .store
        .applies_unanswered
        .store(true, Ordering::Release);
    cluster.store.silence([partition(2)]);
    let time = time_others(&node, 10..20, &[partition(2)]).await;
    assert!(time < VISIBILITY_LIMIT, "{time:?}");
    cluster.store.silence([]);
    wait_finished(&node, 2).await;
    assert_eq!(node.metrics().epoch(), 1, "the ownership was given up");
}
