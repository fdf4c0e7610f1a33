//! Shutdown of an entry instance with open jobs.

mod common;

use std::time::Duration;

use common::caller::{get, job_request, open, read_answer, submit};
use common::fleet::TestFleet;
use common::raw_backend::hold_backend;
use common::wait_for;

/// Guards against a shutdown that breaks off running jobs or takes new ones.
#[tokio::test]
async fn awaits_running() {
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let address = entry.address();
    let mut running = open(address, &job_request("swap", &[], "hold")).await;
    wait_for("start", async || backend.held() == 1).await;
    let ended = tokio::spawn(entry.shut_down());
    wait_for("not ready", async || {
        get(address, "/ready").await.status == 503
    })
    .await;
    let refused = submit(address, &[], "late").await;
    assert_eq!((refused.code(), refused.run_state()), ("1015", "not-run"));
    assert!(!ended.is_finished());
    backend.release();
    let answer = read_answer(&mut running).await;
    assert_eq!((answer.code(), answer.text().as_str()), ("1000", "held"));
    ended.await.expect("shutdown");
    assert_eq!(backend.runs().len(), 1);
    let late = tokio::net::TcpStream::connect(address).await;
    assert!(late.is_err(), "the listener is closed");
}

/// Guards against a shutdown that does not end, or that leaves callers without an answer.
#[tokio::test]
async fn ends_by_deadline() {
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let mut settings = fleet.settings();
    settings.shutdown_deadline = Duration::from_millis(500);
    let entry = fleet.entry_with(settings).await;
    let address = entry.address();
    let mut jobs = Vec::new();
    for _ in 0..8 {
        jobs.push(open(address, &job_request("swap", &[], "hold")).await);
    }
    wait_for("start", async || backend.held() == 8).await;
    let mut queued = open(address, &job_request("swap", &[], "queued")).await;
    let name = "sesamedeal_queued_jobs";
    wait_for("queue", async || {
        common::caller::metric(address, name).await == 1
    })
    .await;
    entry.shut_down().await;
    for job in &mut jobs {
        let answer = read_answer(job).await;
        assert_eq!((answer.code(), answer.run_state()), ("1020", "unknown"));
    }
    let answer = read_answer(&mut queued).await;
    assert_eq!((answer.code(), answer.run_state()), ("1015", "not-run"));
    assert!(!backend.runs().iter().any(|run| run.body == b"queued"));
}
