//! One job from its caller to a backend server and back.

mod common;

use common::caller::{exchange, job_request, submit};
use common::fleet::TestFleet;
use common::raw_backend::{RawBackend, Reaction};

/// Guards against a break anywhere on the path of a job.
#[tokio::test]
async fn job_returns() {
    let backend = RawBackend::start(|request| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        Reaction::Send(request.answer("200 OK", &body))
    })
    .await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let headers = [("sesamedeal-request-id", "r-1")];

    let answer = submit(entry.address(), &headers, "shift 7").await;
    assert_eq!((answer.status, answer.text().as_str()), (200, "shift 7"));
    assert_eq!(answer.header("sesamedeal-request-id"), "r-1");
    assert_eq!((answer.code(), answer.run_state()), ("1000", "ran"));

    let refused = exchange(entry.address(), &job_request("none", &headers, "")).await;
    assert_eq!((refused.code(), refused.run_state()), ("1002", "not-run"));
    entry.shut_down().await;
}
