//! Non-idempotent jobs with an idempotency key: at most one execution.

mod common;

use std::net::SocketAddr;

use common::caller::{RawAnswer, job_request, open, read_answer, submit};
use common::fleet::TestFleet;
use common::raw_backend::{RawBackend, RawRequest, Reaction};
use common::wait_for;
use sesamedeal_daemon::EntryInstance;
use sesamedeal_standin::platform::{FaultScope, PlatformFaults};

const SMALL: usize = 100;

/// Larger than what a row holds, so that the response goes to the object store.
const LARGE: usize = 200_000;

fn react(request: &RawRequest) -> Reaction {
    match request.body.as_slice() {
        b"hold" => Reaction::Hold,
        b"lose" => Reaction::SendAndClose(Vec::new()),
        b"large" => Reaction::Send(request.answer("200 OK", &"L".repeat(LARGE))),
        b"fail" => Reaction::Send(request.answer("500 Internal Server Error", "broken")),
        _ => Reaction::Send(request.answer("200 OK", &"s".repeat(SMALL))),
    }
}

async fn start() -> (RawBackend, TestFleet, EntryInstance, EntryInstance) {
    let backend = RawBackend::start(react).await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let first = fleet.entry().await;
    let second = fleet.entry().await;
    (backend, fleet, first, second)
}

async fn pay(address: SocketAddr, key: &str, body: &str) -> RawAnswer {
    submit(address, &[("idempotency-key", key)], body).await
}

fn table_faults(faults: PlatformFaults) -> PlatformFaults {
    PlatformFaults {
        scope: FaultScope::Table,
        ..faults
    }
}

/// Guards against a second execution by a repeat, at the same or at another entry instance.
#[tokio::test]
async fn repeat_recorded() {
    let (backend, _fleet, first, second) = start().await;
    for body in ["small", "large", "fail"] {
        let one = pay(first.address(), body, body).await;
        assert_eq!(one.code(), "1000");
        for entry in [&first, &second] {
            let mut again = RawAnswer::default();
            wait_for("recorded response", async || {
                again = pay(entry.address(), body, body).await;
                again.code() != "1021"
            })
            .await;
            let found = (again.status, again.code(), again.run_state());
            assert_eq!(found, (one.status, "1000", "ran"));
            assert_eq!(again.body, one.body);
        }
    }
    assert_eq!(backend.runs().len(), 3);
}

/// Guards against one idempotency key for two different requests.
#[tokio::test]
async fn key_reused() {
    let (backend, _fleet, first, second) = start().await;
    assert_eq!(pay(first.address(), "k", "one").await.code(), "1000");
    let other = pay(second.address(), "k", "two").await;
    assert_eq!((other.status, other.code()), (422, "1024"));
    assert_eq!(other.run_state(), "not-run");
    assert_eq!(backend.runs().len(), 1);
}

/// Guards against a second execution while the first is running.
#[tokio::test]
async fn repeat_running() {
    let (backend, _fleet, first, second) = start().await;
    let request = job_request("swap", &[("idempotency-key", "k")], "hold");
    let mut running = open(first.address(), &request).await;
    wait_for("start", async || backend.held() == 1).await;
    for entry in [&first, &second] {
        let again = pay(entry.address(), "k", "hold").await;
        assert_eq!((again.status, again.code()), (409, "1021"));
        assert_eq!(again.header("retry-after"), "1");
    }
    backend.release();
    assert_eq!(read_answer(&mut running).await.text(), "held");
    assert_eq!(pay(second.address(), "k", "hold").await.text(), "held");
    assert_eq!(backend.runs().len(), 1);
}

/// Guards against a second execution after an attempt whose answer was lost.
#[tokio::test]
async fn lost_answer() {
    let (backend, _fleet, first, second) = start().await;
    let one = pay(first.address(), "k", "lose").await;
    assert_eq!((one.code(), one.run_state()), ("1020", "unknown"));
    for entry in [&first, &second] {
        wait_for("mark", async || {
            pay(entry.address(), "k", "lose").await.code() == "1020"
        })
        .await;
    }
    assert_eq!(backend.runs().len(), 1);
}

/// Guards against a second execution after the claimant died.
#[tokio::test]
async fn claimant_killed() {
    let (backend, fleet, first, second) = start().await;
    let request = job_request("swap", &[("idempotency-key", "k")], "hold");
    let running = open(first.address(), &request).await;
    wait_for("start", async || backend.held() == 1).await;
    fleet.remove_entry(first.address());
    first.kill().await;
    drop(running);
    wait_for("unknown", async || {
        let again = pay(second.address(), "k", "hold").await;
        let code = again.code().to_owned();
        assert!(["1021", "1020"].contains(&code.as_str()), "{code}");
        code == "1020"
    })
    .await;
    assert_eq!(backend.runs().len(), 1);
}

/// Guards against dispatching without a claim while the store is down, and against store calls
/// for jobs that need no claim.
#[tokio::test]
async fn store_down() {
    let (backend, fleet, first, second) = start().await;
    fleet.platform.set_faults(table_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    }));
    let refused = pay(first.address(), "k", "one").await;
    let found = (refused.status, refused.code(), refused.run_state());
    assert_eq!(found, (503, "1014", "not-run"));
    assert_eq!(refused.header("retry-after"), "1");
    assert!(backend.runs().is_empty());
    let plain = submit(first.address(), &[], "without claim").await;
    assert_eq!(plain.code(), "1000");
    fleet.platform.set_faults(PlatformFaults::default());
    wait_for("claim", async || {
        pay(second.address(), "k", "one").await.code() == "1000"
    })
    .await;
    let runs = backend.runs();
    assert_eq!(runs.iter().filter(|run| run.body == b"one").count(), 1);
}

/// Guards against a second execution when the table's answers are lost after the writes.
#[tokio::test]
async fn store_answers_lost() {
    let (backend, fleet, first, second) = start().await;
    fleet.platform.set_faults(table_faults(PlatformFaults {
        lose_answers: true,
        ..PlatformFaults::default()
    }));
    let mut codes = Vec::new();
    for round in 0..4 {
        let entry = if round % 2 == 0 { &first } else { &second };
        codes.push(pay(entry.address(), "k", "one").await.code().to_owned());
    }
    let allowed = ["1000", "1014", "1021"];
    assert!(
        codes.iter().all(|code| allowed.contains(&code.as_str())),
        "{codes:?}"
    );
    fleet.platform.set_faults(PlatformFaults::default());
    wait_for("answer", async || {
        pay(second.address(), "k", "one").await.code() == "1000"
    })
    .await;
    assert_eq!(backend.runs().len(), 1, "{codes:?}");
}

/// Guards against a claim that blocks its key after a job that was not run.
#[tokio::test]
async fn released_unrun() {
    let (backend, _fleet, first, second) = start().await;
    let headers = [("idempotency-key", "k"), ("sesamedeal-cores", "1000")];
    let refused = submit(first.address(), &headers, "one").await;
    assert_eq!((refused.code(), refused.run_state()), ("1008", "not-run"));
    wait_for("release", async || {
        pay(second.address(), "k", "one").await.code() == "1000"
    })
    .await;
    assert_eq!(backend.runs().len(), 1);
}

/// Guards against a second execution after the caller left while its job was running.
#[tokio::test]
async fn caller_gone() {
    let (backend, _fleet, first, second) = start().await;
    let request = job_request("swap", &[("idempotency-key", "k")], "hold");
    let running = open(first.address(), &request).await;
    wait_for("start", async || backend.held() == 1).await;
    drop(running);
    wait_for("stop request", async || !backend.stops().is_empty()).await;
    wait_for("mark", async || {
        pay(second.address(), "k", "hold").await.code() == "1020"
    })
    .await;
    assert_eq!(backend.runs().len(), 1);
}
