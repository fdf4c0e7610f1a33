//! A backend server that dies with tasks while other jobs wait for its slots.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::caller::{job_request, metric, open, read_answer, submit};
use common::fleet::TestFleet;
use common::raw_backend::hold_backend;
use common::wait_for;
use tokio::net::TcpStream;

/// Jobs of half a worker each; a third lost one would put the worker under quarantine.
const JOBS: usize = 2;
const QUEUED: &str = "sesamedeal_queued_jobs";

/// Opens jobs that fill the worker and waits until they are queued.
async fn open_jobs(address: SocketAddr, headers: &[(&str, &str)], body: &str) -> Vec<TcpStream> {
    let mut jobs = Vec::new();
    for _ in 0..JOBS {
        jobs.push(open(address, &job_request("swap", headers, body)).await);
    }
    wait_for("queue", async || {
        metric(address, QUEUED).await == JOBS as u64
    })
    .await;
    jobs
}

/// Guards against jobs without an answer and wrong counts of jobs when the lease of a lost attempt
/// passes and its slot is taken by the next job before the attempt's end is confirmed.
#[tokio::test]
async fn slots_taken_over() {
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let mut settings = fleet.settings();
    settings.task_lease = Duration::from_secs(1);
    let entry = fleet.entry_with(settings).await;
    let address = entry.address();
    let headers = [
        ("sesamedeal-deadline-ms", "8000"),
        ("sesamedeal-cores", "32"),
    ];
    // All attempts that are lost later start at the same moment, when the first job ends.
    let whole = [("sesamedeal-cores", "64")];
    let first = open(address, &job_request("swap", &whole, "hold")).await;
    wait_for("first job", async || backend.held() == 1).await;
    let mut held = open_jobs(address, &headers, "hold").await;
    backend.release();
    wait_for("held jobs", async || backend.held() == JOBS).await;
    drop(first);
    let mut waiting = open_jobs(address, &headers, "next").await;
    drop(backend);
    for stream in &mut held {
        let answer = read_answer(stream).await;
        assert_eq!((answer.code(), answer.run_state()), ("1020", "unknown"));
    }
    for stream in &mut waiting {
        let answer = read_answer(stream).await;
        assert_eq!(answer.run_state(), "not-run", "code {}", answer.code());
    }
    wait_for("no attempts", async || {
        metric(address, "sesamedeal_running_attempts").await == 0
    })
    .await;
    assert_eq!(metric(address, QUEUED).await, 0);
    let answer = submit(address, &[("sesamedeal-cores", "1000")], "after").await;
    assert_eq!(answer.code(), "1008");
}
