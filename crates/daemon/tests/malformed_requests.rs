//! Requests that break the rules of the callers' interface.

mod common;

use std::time::Duration;

use common::caller::{closes, exchange, get, job_request, metric, open, read_answer, submit};
use common::fleet::{TestFleet, team_key};
use common::raw_backend::{RawBackend, RawRequest, Reaction};
use common::wait_for;
use sesamedeal_daemon::EntryInstance;
use tokio::io::AsyncWriteExt;

fn echo(request: &RawRequest) -> Reaction {
    Reaction::Send(request.answer("200 OK", "done"))
}

async fn start() -> (RawBackend, TestFleet, EntryInstance) {
    let backend = RawBackend::start(echo).await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    (backend, fleet, entry)
}

/// Guards against malformed headers that are ignored or answered without a code.
#[tokio::test]
async fn bad_headers() {
    let (backend, _fleet, entry) = start().await;
    let long = "r".repeat(129);
    let cases: &[&[(&str, &str)]] = &[
        &[("sesamedeal-cores", "many")],
        &[("sesamedeal-cores", "0")],
        &[("sesamedeal-memory-mb", "-1")],
        &[("sesamedeal-run-ms", "1.5")],
        &[("sesamedeal-deadline-ms", "soon")],
        &[("sesamedeal-deadline-ms", "0")],
        &[("sesamedeal-urgent", "yes")],
        &[("sesamedeal-idempotent", "2")],
        &[("sesamedeal-request-id", &long)],
        &[("sesamedeal-request-id", "")],
        &[("idempotency-key", "a b")],
        &[("sesamedeal-cores", "1"), ("sesamedeal-cores", "2")],
    ];
    for headers in cases {
        let answer = submit(entry.address(), headers, "job").await;
        let found = (answer.status, answer.code(), answer.run_state());
        assert_eq!(found, (400, "1001", "not-run"), "{headers:?}");
        assert!(!answer.header("sesamedeal-request-id").is_empty());
    }
    let name = "sesamedeal_answers_total{code=\"1001\",label=\"bad-request\"}";
    assert_eq!(metric(entry.address(), name).await, cases.len() as u64);
    assert!(backend.runs().is_empty());
}

/// Guards against answers of the HTTP library itself, which carry no code.
#[tokio::test]
async fn broken_http() {
    let (_backend, _fleet, entry) = start().await;
    let cases = [
        "NONSENSE\r\n\r\n",
        "POST /v1/queues/swap/jobs HTTP/1.1\r\nbad header\r\n\r\n",
        "POST /v1/queues/swap/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: x\r\n\r\n",
        "POST /v1/queues/swap/jobs HTTP/9.9\r\n\r\n",
    ];
    for request in cases {
        let answer = exchange(entry.address(), request).await;
        assert!(answer.complete, "{request:?}");
        let found = (answer.status, answer.code(), answer.run_state());
        assert_eq!(found, (400, "1001", "not-run"), "{request:?}");
    }
    let chunk =
        "POST /v1/queues/swap/jobs HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n";
    assert_eq!(exchange(entry.address(), chunk).await.code(), "1001");
}

/// Guards against a second request on a connection being handled with state of the first.
#[tokio::test]
async fn broken_second() {
    let (_backend, _fleet, entry) = start().await;
    let mut stream = open(entry.address(), &job_request("swap", &[], "one")).await;
    assert_eq!(read_answer(&mut stream).await.code(), "1000");
    stream.write_all(b"NONSENSE\r\n\r\n").await.expect("write");
    assert_eq!(read_answer(&mut stream).await.code(), "1001");
    assert!(closes(&mut stream, common::PATIENCE).await);
}

/// Guards against unbounded memory for headers and bodies.
#[tokio::test]
async fn too_large() {
    let (backend, _fleet, entry) = start().await;
    let filler = "f".repeat(17_000);
    let answer = submit(entry.address(), &[("x-filler", &filler)], "job").await;
    assert_eq!((answer.status, answer.code()), (413, "1006"));
    let stated =
        "POST /v1/queues/swap/jobs HTTP/1.1\r\nhost: e\r\ncontent-length: 16777217\r\n\r\n";
    let answer = exchange(entry.address(), stated).await;
    assert_eq!((answer.status, answer.code()), (413, "1006"));
    let chunk = format!("100000\r\n{}\r\n", "c".repeat(0x10_0000));
    let chunked = format!(
        "POST /v1/queues/swap/jobs HTTP/1.1\r\nhost: e\r\ntransfer-encoding: chunked\r\n\r\n{}",
        chunk.repeat(17)
    );
    let answer = exchange(entry.address(), &chunked).await;
    assert_eq!((answer.status, answer.code()), (413, "1006"));
    assert!(backend.runs().is_empty());
    let whole = submit(entry.address(), &[], &"b".repeat(16 * 1024 * 1024)).await;
    assert_eq!(whole.code(), "1000");
    assert_eq!(backend.runs()[0].body.len(), 16 * 1024 * 1024);
}

/// Guards against paths and methods that are answered without a code.
#[tokio::test]
async fn unknown_paths() {
    let (_backend, _fleet, entry) = start().await;
    let answer = get(entry.address(), "/v1/queues/swap/jobs").await;
    assert_eq!((answer.status, answer.code()), (405, "1001"));
    let answer = get(entry.address(), "/nothing").await;
    assert_eq!((answer.status, answer.code()), (404, "1001"));
    let answer = exchange(entry.address(), &job_request("none", &[], "")).await;
    assert_eq!((answer.status, answer.code()), (404, "1002"));
}

/// Guards against work for a caller without the key of its team.
#[tokio::test]
async fn wrong_keys() {
    let (backend, _fleet, entry) = start().await;
    let good = team_key().header();
    let wrong = format!("Bearer k1.{}", "0".repeat(64));
    let unknown = format!("Bearer k2.{}", "0".repeat(64));
    let cases: &[(&[(&str, &str)], &str)] = &[
        (&[], "1003"),
        (&[("authorization", &wrong)], "1004"),
        (&[("authorization", &unknown)], "1004"),
        (&[("authorization", "Basic abc")], "1004"),
        (
            &[("authorization", &good), ("authorization", &good)],
            "1001",
        ),
        (&[("authorization", &good)], "1000"),
    ];
    for (headers, code) in cases {
        let request = job_request("repair", headers, "job");
        assert_eq!(exchange(entry.address(), &request).await.code(), *code);
    }
    assert_eq!(backend.runs().len(), 1);
    let run = &backend.runs()[0];
    assert_eq!(
        run.header("authorization"),
        "",
        "the secret is not passed on"
    );
    assert_eq!(run.header("sesamedeal-team"), "clock");
}

/// Guards against a caller that stops sending and holds a queue place, a slot or a connection.
#[tokio::test]
async fn slow_callers() {
    let (backend, _fleet, entry) = start().await;
    let head = "POST /v1/queues/swap/jobs HTTP/1.1\r\nhost: e\r\n";
    let mut in_head = open(entry.address(), head).await;
    let mut in_body = open(
        entry.address(),
        &format!("{head}content-length: 9\r\n\r\nhalf"),
    )
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    for name in ["sesamedeal_queued_jobs", "sesamedeal_running_attempts"] {
        assert_eq!(metric(entry.address(), name).await, 0);
    }
    for stream in [&mut in_head, &mut in_body] {
        let answer = read_answer(stream).await;
        assert_eq!((answer.status, answer.code()), (408, "1007"));
        assert!(closes(stream, common::PATIENCE).await);
    }
    let name = "sesamedeal_answers_total{code=\"1007\",label=\"slow-caller\"}";
    wait_for("metric", async || metric(entry.address(), name).await == 2).await;
    assert!(backend.runs().is_empty());
}
