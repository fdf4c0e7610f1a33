//! Second attempts at another worker, and jobs that must not get one.

mod common;

use common::caller::{metric, submit};
use common::fleet::TestFleet;
use common::raw_backend::{RawBackend, RawRequest, Reaction};
use common::wait_for;

const IDEMPOTENT: &[(&str, &str)] = &[("sesamedeal-idempotent", "1")];

fn refusal(request: &RawRequest, state: &str) -> Reaction {
    let head = request.answer_head("503 Service Unavailable", 0);
    Reaction::Send(format!("{head}sesamedeal-state: {state}\r\n\r\n").into_bytes())
}

fn good(request: &RawRequest) -> Reaction {
    Reaction::Send(request.answer("200 OK", "done"))
}

/// Submits jobs to a bad and a good worker until the bad one was tried; returns how often each
/// was tried and the codes that differ from `ok`.
async fn run_jobs(
    bad: impl Fn(&RawRequest) -> Reaction + Send + Sync + 'static,
    headers: &[(&str, &str)],
    reason: &str,
    retries: u64,
) -> (usize, Vec<String>) {
    let bad = RawBackend::start(bad).await;
    let good = RawBackend::start(good).await;
    let fleet = TestFleet::start(&[bad.address, good.address]).await;
    let entry = fleet.entry().await;
    let mut codes = Vec::new();
    wait_for("an attempt at the bad worker", async || {
        let answer = submit(entry.address(), headers, "job").await;
        if answer.code() != "1000" {
            codes.push(answer.code().to_owned());
        }
        !bad.runs().is_empty()
    })
    .await;
    for _ in 0..20 {
        let answer = submit(entry.address(), headers, "job").await;
        if answer.code() != "1000" {
            codes.push(answer.code().to_owned());
        }
    }
    let name = format!("sesamedeal_retries_total{{reason=\"{reason}\"}}");
    let counted = metric(entry.address(), &name).await;
    assert!(counted >= retries, "{counted} retries counted");
    assert_eq!(counted == 0, retries == 0);
    (bad.runs().len(), codes)
}

/// Guards against refusing a job that was proven not to have started.
#[tokio::test]
async fn not_started() {
    let bad = |request: &RawRequest| refusal(request, "not-started");
    let (_, codes) = run_jobs(bad, &[], "not-started", 1).await;
    assert!(codes.is_empty(), "{codes:?}");
}

/// Guards against further work for a worker that said that it is leaving.
#[tokio::test]
async fn draining_worker() {
    let bad = |request: &RawRequest| refusal(request, "draining");
    let (tried, codes) = run_jobs(bad, &[], "draining", 1).await;
    assert!(codes.is_empty(), "{codes:?}");
    assert_eq!(tried, 1, "no job was sent after the first refusal");
}

/// Guards against giving up idempotent jobs whose answers were lost.
#[tokio::test]
async fn lost_idempotent() {
    let bad = |_: &RawRequest| Reaction::SendAndClose(Vec::new());
    let (_, codes) = run_jobs(bad, IDEMPOTENT, "lost", 1).await;
    assert!(codes.is_empty(), "{codes:?}");
}

/// Guards against passing on the failure of one worker while another can run the job.
#[tokio::test]
async fn failed_idempotent() {
    let bad = |request: &RawRequest| {
        Reaction::Send(request.answer("500 Internal Server Error", "broken"))
    };
    let (_, codes) = run_jobs(bad, IDEMPOTENT, "failed", 1).await;
    assert!(codes.is_empty(), "{codes:?}");
}

/// Guards against running a non-idempotent job twice after its answer was lost.
#[tokio::test]
async fn lost_once() {
    let bad = |_: &RawRequest| Reaction::SendAndClose(Vec::new());
    let (tried, codes) = run_jobs(bad, &[], "lost", 0).await;
    assert_eq!(codes.len(), tried, "each lost answer was reported");
    assert!(codes.iter().all(|code| code == "1020"), "{codes:?}");
}

/// Guards against a refusal `not run` after a lost attempt of an idempotent job.
#[tokio::test]
async fn lost_everywhere() {
    let backend = RawBackend::start(|_| Reaction::SendAndClose(Vec::new())).await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let answer = submit(entry.address(), IDEMPOTENT, "job").await;
    assert_eq!((answer.code(), answer.run_state()), ("1020", "unknown"));
}

/// Guards against a worker without a listener that holds up its jobs.
#[tokio::test]
async fn no_listener() {
    let gone = RawBackend::start(good).await.address;
    let good = RawBackend::start(good).await;
    let fleet = TestFleet::start(&[gone, good.address]).await;
    let entry = fleet.entry().await;
    for _ in 0..10 {
        let answer = submit(entry.address(), &[], "job").await;
        assert_eq!(answer.code(), "1000");
    }
    assert_eq!(good.runs().len(), 10);
}
