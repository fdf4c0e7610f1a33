//! Answers of backend servers that are wrong in some way.

mod common;

use common::caller::{metric, submit};
use common::fleet::TestFleet;
use common::raw_backend::{RawBackend, RawRequest, Reaction};

/// Submits jobs one after another to a backend server whose answer to the body `bad` is given,
/// and checks that the bad answer becomes `code` and the good ones before and after are whole.
async fn check_answer(
    bad: impl Fn(&RawRequest) -> Reaction + Send + Sync + 'static,
    code: &str,
    run_state: &str,
) {
    let backend = RawBackend::start(move |request| {
        if request.body == b"bad" {
            bad(request)
        } else {
            let text = String::from_utf8_lossy(&request.body).into_owned();
            Reaction::Send(request.answer("200 OK", &text))
        }
    })
    .await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    for body in ["one", "bad", "two", "bad", "three"] {
        let answer = submit(entry.address(), &[("sesamedeal-request-id", body)], body).await;
        assert!(answer.complete);
        assert_eq!(answer.header("sesamedeal-request-id"), body);
        if body == "bad" {
            assert_eq!((answer.code(), answer.run_state()), (code, run_state));
        } else {
            assert_eq!((answer.code(), answer.text().as_str()), ("1000", body));
        }
    }
    let counted = metric(entry.address(), &counter(code)).await;
    assert_eq!(counted, 2);
    assert_eq!(backend.runs().len(), 5, "no job ran twice");
}

fn counter(code: &str) -> String {
    let label = match code {
        "1020" => "outcome-unknown",
        _ => "bad-answer",
    };
    format!("sesamedeal_answers_total{{code=\"{code}\",label=\"{label}\"}}")
}

/// Guards against passing on the answer to another attempt.
#[tokio::test]
async fn crossed_attempt() {
    let bad = |request: &RawRequest| {
        let answer = String::from_utf8(request.answer("200 OK", "other")).expect("text");
        let attempt = request.attempt();
        Reaction::Send(
            answer
                .replace(attempt, &attempt.replace('0', "1"))
                .into_bytes(),
        )
    };
    check_answer(bad, "1022", "unknown").await;
}

/// Guards against passing on the answer to another request.
#[tokio::test]
async fn crossed_request() {
    let bad = |request: &RawRequest| {
        let answer = String::from_utf8(request.answer("200 OK", "other")).expect("text");
        Reaction::Send(
            answer
                .replace("request-id: bad", "request-id: worse")
                .into_bytes(),
        )
    };
    check_answer(bad, "1022", "unknown").await;
}

/// Guards against trusting a crossed proof that nothing was started.
#[tokio::test]
async fn crossed_proof() {
    let bad = |request: &RawRequest| {
        let head = request.answer_head("503 Service Unavailable", 0);
        let head = head.replace("request-id: bad", "request-id: worse");
        Reaction::Send(format!("{head}sesamedeal-state: not-started\r\n\r\n").into_bytes())
    };
    check_answer(bad, "1022", "unknown").await;
}

/// Guards against passing on a part of an answer with a stated length.
#[tokio::test]
async fn truncated_length() {
    let bad = |request: &RawRequest| {
        let head = request.answer_head("200 OK", 100);
        Reaction::SendAndClose(format!("{head}\r\nshort").into_bytes())
    };
    check_answer(bad, "1022", "unknown").await;
}

/// Guards against passing on a part of an answer in chunks.
#[tokio::test]
async fn truncated_chunks() {
    let bad = |request: &RawRequest| {
        let head = request.answer_head("200 OK", 0);
        let head = head.replace("content-length: 0", "transfer-encoding: chunked");
        Reaction::SendAndClose(format!("{head}\r\n5\r\nshort\r\n").into_bytes())
    };
    check_answer(bad, "1022", "unknown").await;
}

/// Guards against answers whose end cannot be told from a broken connection.
#[tokio::test]
async fn endless_answer() {
    let bad = |request: &RawRequest| {
        let head = request.answer_head("200 OK", 0);
        let head = head.replace("content-length: 0\r\n", "");
        Reaction::SendAndClose(format!("{head}\r\nall or a part").into_bytes())
    };
    check_answer(bad, "1022", "unknown").await;
}

/// Guards against unbounded memory for the headers of an answer.
#[tokio::test]
async fn oversized_headers() {
    let bad = |request: &RawRequest| {
        let head = request.answer_head("200 OK", 2);
        let filler = "f".repeat(20_000);
        Reaction::Send(format!("{head}x-filler: {filler}\r\n\r\nok").into_bytes())
    };
    check_answer(bad, "1022", "unknown").await;
}

/// Guards against taking bytes beyond the end of an answer for the next answer.
#[tokio::test]
async fn trailing_bytes() {
    let bad = |request: &RawRequest| {
        let head = request.answer_head("500 Internal Server Error", 3);
        Reaction::Send(format!("{head}\r\nbadHTTP/1.1 200 OK\r\n\r\n").into_bytes())
    };
    let backend = RawBackend::start(move |request| {
        if request.body == b"bad" {
            bad(request)
        } else {
            Reaction::Send(request.answer("200 OK", "good"))
        }
    })
    .await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    for body in ["bad", "good", "bad", "good", "good"] {
        let answer = submit(entry.address(), &[], body).await;
        assert_eq!(answer.text(), body);
    }
}

/// Guards against reporting a lost answer as `not run` or running the job again.
#[tokio::test]
async fn lost_answer() {
    check_answer(|_| Reaction::SendAndClose(Vec::new()), "1020", "unknown").await;
}

/// Guards against treating bytes that are not HTTP as an answer.
#[tokio::test]
async fn garbled_answer() {
    let bad = |_: &RawRequest| Reaction::Send(b"\x00\x01garbage\r\n\r\n".to_vec());
    check_answer(bad, "1022", "unknown").await;
}
