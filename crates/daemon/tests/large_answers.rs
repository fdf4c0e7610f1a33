//! Answers that are passed on while they arrive.

mod common;

use common::caller::{RawAnswer, job_request, metric, open, submit};
use common::fleet::TestFleet;
use common::raw_backend::{RawBackend, Reaction};
use common::{PATIENCE, wait_for};
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

const RUNNING: &str = "sesamedeal_running_attempts";
const BLOCK: usize = 1 << 20;
const BLOCKS: usize = 200;

/// Memory that the process holds, in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm");
    let pages: usize = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse().ok())
        .expect("resident pages");
    pages * 4096
}

/// A backend server that answers with all blocks.
async fn block_backend() -> RawBackend {
    RawBackend::start(|request| {
        let head = request.answer_head("200 OK", BLOCK * BLOCKS);
        Reaction::Repeat(
            format!("{head}\r\n").into_bytes(),
            vec![b'x'; BLOCK],
            BLOCKS,
        )
    })
    .await
}

/// Guards against an answer that is kept in memory as a whole.
#[tokio::test]
async fn bounded_memory() {
    let backend = block_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let mut stream = open(entry.address(), &job_request("swap", &[], "scan")).await;
    let before = resident();
    let mut most = 0;
    let mut total = 0;
    let mut part = vec![0; 256 * 1024];
    let expected = BLOCK * BLOCKS;
    while total < expected {
        let read = timeout(PATIENCE, stream.read(&mut part)).await;
        let length = read.expect("progress").expect("open connection");
        assert!(length > 0, "ended after {total} bytes");
        total += length;
        most = most.max(resident().saturating_sub(before));
    }
    assert!(most < 64 << 20, "{most} bytes for an answer of {expected}");
    wait_for("end", async || metric(entry.address(), RUNNING).await == 0).await;
    assert!(backend.stops().is_empty(), "the attempt ended by itself");
}

async fn broken_answer(chunked: bool) -> RawAnswer {
    let backend = RawBackend::start(move |request| {
        let block = "y".repeat(300_000);
        let head = request.answer_head("200 OK", 1_000_000);
        let answer = if chunked {
            let head = head.replace("content-length: 1000000", "transfer-encoding: chunked");
            format!("{head}\r\n{:x}\r\n{block}\r\n", block.len())
        } else {
            format!("{head}\r\n{block}")
        };
        Reaction::SendAndClose(answer.into_bytes())
    })
    .await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let answer = submit(entry.address(), &[], "scan").await;
    let broken = "sesamedeal_broken_answers_total";
    wait_for("metric", async || {
        metric(entry.address(), broken).await == 1
    })
    .await;
    wait_for("end", async || metric(entry.address(), RUNNING).await == 0).await;
    answer
}

/// Guards against an answer that breaks on the way and looks complete to the caller.
#[tokio::test]
async fn broken_length() {
    let answer = broken_answer(false).await;
    assert_eq!(answer.code(), "1000");
    assert!(!answer.complete);
}

/// Guards against a broken answer in chunks that gets a final chunk.
#[tokio::test]
async fn broken_chunks() {
    let answer = broken_answer(true).await;
    assert_eq!(answer.header("transfer-encoding"), "chunked");
    assert!(!answer.complete);
}

/// Guards against a large answer in chunks that loses or repeats parts.
#[tokio::test]
async fn whole_chunks() {
    let backend = RawBackend::start(|request| {
        let head = request.answer_head("200 OK", 0);
        let head = head.replace("content-length: 0", "transfer-encoding: chunked");
        let chunk = format!("{:x}\r\n{}\r\n", 1000, "z".repeat(1000));
        Reaction::Send(format!("{head}\r\n{}0\r\n\r\n", chunk.repeat(500)).into_bytes())
    })
    .await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    for _ in 0..3 {
        let answer = submit(entry.address(), &[], "scan").await;
        assert!(answer.complete);
        let bytes = answer.body.iter().filter(|byte| **byte == b'z').count();
        assert_eq!(bytes, 500_000);
    }
    assert_eq!(backend.connections(), 1, "the connection is used again");
}

/// Guards against units that stay in use when a caller leaves in the middle of its answer.
#[tokio::test]
async fn caller_leaves() {
    let backend = block_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let mut stream = open(entry.address(), &job_request("swap", &[], "scan")).await;
    let mut part = [0; 1000];
    let read = timeout(PATIENCE, stream.read(&mut part)).await;
    assert!(read.expect("progress").is_ok());
    drop(stream);
    wait_for("stop request", async || !backend.stops().is_empty()).await;
    wait_for("end", async || metric(entry.address(), RUNNING).await == 0).await;
}

/// Guards against units that stay in use for a caller that takes nothing of its answer.
#[tokio::test]
async fn stalled_caller() {
    let backend = RawBackend::start(|request| {
        let head = request.answer_head("200 OK", BLOCK * BLOCKS);
        let head = format!("{head}\r\n").into_bytes();
        Reaction::Repeat(head, vec![b'x'; BLOCK], BLOCKS)
    })
    .await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let stalled = open(entry.address(), &job_request("swap", &[], "scan")).await;
    wait_for("stop request", async || !backend.stops().is_empty()).await;
    wait_for("end", async || metric(entry.address(), RUNNING).await == 0).await;
    let slow = "sesamedeal_answers_total{code=\"1007\",label=\"slow-caller\"}";
    wait_for("metric", async || metric(entry.address(), slow).await == 1).await;
    drop(stalled);
}
