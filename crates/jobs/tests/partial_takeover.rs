//! Takeovers while a partition of the store does not answer.

mod common;

use std::collections::HashSet;
use std::time::Duration;

use common::{TestCluster, TestNode, job, partition, run_job, submit, wait_finished, wait_until};
use sesamedeal_core::ids::QueueName;
use tokio::time::{Instant, sleep};

/// Maximum time from the end of the owner's process to a start of a task whose partition answers.
///
/// Sum of the waits: 0.2 s until the process is known to have ended and the epoch is taken, 0.1 s for
/// the unresponsive partition, 0.1 s for the lists of the workers. The rest is for a busy machine.
const START_LIMIT: Duration = Duration::from_millis(1_200);

/// Maximum time until the jobs of a partition that answers again are known: 0.25 s until it is called
/// next, and the reads. The rest is for a busy machine.
const READ_LIMIT: Duration = Duration::from_millis(800);

/// Job in the partition that becomes unresponsive.
const UNREAD: u64 = 2;

/// Two instances, of which the second one takes over when the first one is dropped.
async fn instances(cluster: &TestCluster) -> (TestNode, TestNode) {
    let first = cluster.node("entry-1");
    run_job(&first, 1).await;
    let second = cluster.node("entry-2");
    run_job(&second, 3).await;
    assert_eq!(first.metrics().epoch(), 1);
    (first, second)
}

/// Returns an id of a job in a partition other than that of [`UNREAD`].
fn other_job() -> u64 {
    let other = (10..20).find(|id| partition(*id) != partition(UNREAD));
    other.unwrap()
}

/// Guards against a new owner that starts nothing, or stops tasks, until all partitions answer.
#[tokio::test]
async fn starts_others() {
    let cluster = TestCluster::new(2);
    let (first, second) = instances(&cluster).await;
    *cluster.workers.is_long_running.lock() = true;
    submit(&first, UNREAD, &job(1, true)).await;
    wait_until("the task runs", async || cluster.workers.running() == 1).await;
    let before = cluster.workers.starts.lock().len();
    cluster.store.silence([partition(UNREAD)]);
    let begin = Instant::now();
    drop(first);
    submit(&second, other_job(), &job(2, true)).await;
    wait_until("the others run", async || cluster.workers.running() == 3).await;
    assert!(begin.elapsed() < START_LIMIT, "{:?}", begin.elapsed());
    // The counts would lack the jobs of the partition.
    sleep(Duration::from_millis(2_300)).await;
    assert_eq!(second.api().pending(&QueueName::new("queue")), None);
    cluster.store.silence([]);
    let begin = Instant::now();
    wait_until("the counts are shown", async || {
        second.api().pending(&QueueName::new("queue")).is_some()
    })
    .await;
    // A heartbeat follows within 0.5 s.
    let limit = READ_LIMIT + Duration::from_millis(500);
    assert!(begin.elapsed() < limit, "{:?}", begin.elapsed());
    let starts = cluster.workers.starts.lock().len();
    assert_eq!(starts, before + 2, "a task was started again");
    assert_eq!(cluster.workers.running(), 3, "a task was stopped");
    assert_eq!(cluster.epochs(), HashSet::from([1, 2]));
}

/// Guards against the loss of an end that is reported before its job can be read, against jobs that
/// are read late after their partition has returned, and against jobs that are lost because their rows
/// change before their partition is read.
#[tokio::test]
async fn keeps_ends() {
    let cluster = TestCluster::new(2);
    let (first, second) = instances(&cluster).await;
    submit(&first, UNREAD, &job(1, false)).await;
    cluster.store.silence([partition(UNREAD)]);
    wait_until("the task runs", async || {
        cluster.workers.starts.lock().len() == 3
    })
    .await;
    drop(first);
    run_job(&second, other_job()).await;
    sleep(Duration::from_millis(300)).await;
    cluster.store.silence([]);
    let begin = Instant::now();
    let new = (20..).find(|id| partition(*id) == partition(UNREAD));
    // The row arrives as a change before or after the partition has been read.
    submit(&second, new.unwrap(), &job(1, false)).await;
    wait_finished(&second, UNREAD).await;
    assert!(begin.elapsed() < READ_LIMIT, "{:?}", begin.elapsed());
    wait_finished(&second, new.unwrap()).await;
    let starts = cluster.workers.starts.lock().len();
    assert_eq!(starts, 5, "a task was started again");
}
