//! Processor time of the owner for each task, with a store and workers in memory. Jobs of 8 tasks are
//! submitted as fast as they end, so that the pool stays full. The time contains that of the workers
//! and of the store, which is the same for all versions of the owner.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::{TestCluster, job, submit};
use tokio::time::{Instant, sleep};

const WORKERS: usize = 200;
const TASKS_PER_JOB: u16 = 8;
/// Tasks that run or wait at any time. The workers have room for 1,600.
const OPEN_TASKS: usize = 4_000;
const WARM_UP: Duration = Duration::from_secs(2);
const MEASURED: Duration = Duration::from_secs(6);

/// Processor time of this thread, in nanoseconds.
fn thread_time() -> u64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").expect("Linux has it");
    let first = text.split(' ').next().expect("it has three numbers");
    first.parse().expect("it is a number")
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let cluster = TestCluster::new(WORKERS);
    let node = cluster.node("node");
    let begin = Instant::now();
    let mut submitted = 0;
    let mut first = None;
    while begin.elapsed() < WARM_UP + MEASURED {
        let started = cluster.workers.starts.lock().len();
        let open = submitted * usize::from(TASKS_PER_JOB) - started;
        for _ in 0..OPEN_TASKS.saturating_sub(open) / usize::from(TASKS_PER_JOB) {
            submitted += 1;
            let id = u64::try_from(submitted).unwrap_or(u64::MAX);
            submit(&node, id, &job(TASKS_PER_JOB, false)).await;
        }
        if begin.elapsed() >= WARM_UP && first.is_none() {
            first = Some((started, thread_time(), Instant::now()));
        }
        sleep(Duration::from_millis(10)).await;
    }
    let (started, time, since) = first.expect("the time is longer than the warm-up");
    let tasks = cluster.workers.starts.lock().len() - started;
    let spent = thread_time() - time;
    let count = u64::try_from(tasks).unwrap_or(u64::MAX).max(1);
    println!(
        "{tasks} tasks in {} ms, {} us of processor time a task, load {}%",
        since.elapsed().as_millis(),
        spent / count / 1_000,
        u128::from(spent) / since.elapsed().as_millis() / 10_000,
    );
}
