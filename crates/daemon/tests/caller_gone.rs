//! Callers that close their connections before the answer.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use common::caller::{job_request, metric, open, submit};
use common::cluster::put_team;
use common::fleet::{TestFleet, team_key};
use common::raw_backend::{RawBackend, Reaction, hold_backend};
use common::{PATIENCE, wait_for};

const QUEUED: &str = "sesamedeal_queued_jobs";
const RUNNING: &str = "sesamedeal_running_attempts";

/// Worker slots of the fleet's single backend server.
const SLOTS: usize = 8;

/// Guards against a queued job that is run for nobody.
#[tokio::test]
async fn while_queued() {
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let mut holding = Vec::new();
    for _ in 0..SLOTS {
        holding.push(open(entry.address(), &job_request("swap", &[], "hold")).await);
    }
    wait_for("held jobs", async || backend.held() == SLOTS).await;
    let queued = open(entry.address(), &job_request("swap", &[], "queued")).await;
    wait_for("queue", async || metric(entry.address(), QUEUED).await == 1).await;
    drop(queued);
    wait_for("removal", async || {
        metric(entry.address(), QUEUED).await == 0
    })
    .await;
    backend.release();
    assert_eq!(submit(entry.address(), &[], "next").await.code(), "1000");
    let is_queued = |run: &common::raw_backend::RawRequest| run.body == b"queued";
    assert!(!backend.runs().iter().any(is_queued));
    let gone = "sesamedeal_answers_total{code=\"1017\",label=\"caller-gone\"}";
    assert_eq!(metric(entry.address(), gone).await, 1);
}

/// Guards against units that are free again while their task still runs, and against a
/// connection with an abandoned request that is used again.
#[tokio::test]
async fn while_running() {
    let backend = RawBackend::start(|request| {
        if request.body == b"hold" {
            Reaction::Hold
        } else {
            Reaction::Send(request.answer("200 OK", "done"))
        }
    })
    .await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let caller = open(entry.address(), &job_request("swap", &[], "hold")).await;
    wait_for("start", async || backend.held() == 1).await;
    assert_eq!(metric(entry.address(), RUNNING).await, 1);
    drop(caller);
    wait_for("stop request", async || !backend.stops().is_empty()).await;
    wait_for("end", async || metric(entry.address(), RUNNING).await == 0).await;
    let attempt = backend.runs()[0].attempt().to_owned();
    assert_eq!(backend.stops()[0], attempt);
    for _ in 0..SLOTS {
        let answer = submit(entry.address(), &[], "next").await;
        assert_eq!(answer.text(), "done");
    }
}

/// Guards against a caller that is kept waiting past its deadline.
#[tokio::test]
async fn deadline_passes() {
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let headers = [("sesamedeal-deadline-ms", "300")];
    let answer = submit(entry.address(), &headers, "hold").await;
    assert_eq!((answer.code(), answer.run_state()), ("1020", "unknown"));
    wait_for("stop request", async || backend.stops().len() == 1).await;
    wait_for("end", async || metric(entry.address(), RUNNING).await == 0).await;
}

/// Submits a job of another caller and waits for its result. An entry instance that the machine
/// paused may refuse it as not run; the caller comes back then.
async fn other_caller(address: SocketAddr) {
    loop {
        let answer = submit(address, &[], "other").await;
        match answer.code() {
            "1000" => return,
            code => assert_eq!((code, answer.run_state()), ("1013", "not-run")),
        }
    }
}

/// Guards against a wave of cancellations that delays other callers until its end, and against a
/// queued job that is run for nobody. `core cancellation::cancellation_wave` bounds the steps that
/// each cancellation takes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cancellation_wave() {
    const WAVE: usize = 10_000;
    const LIMIT: usize = 4;
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let limit = u32::try_from(LIMIT).expect("small limit");
    fleet.change(vec![put_team("clock", limit)]).await;
    // Each end of a connection takes a file descriptor, and a process often has 20,000.
    let settings = format!(
        "list_lag_ms = 2000\ntask_lease_ms = 600000\nmax_queued = {}\n",
        2 * WAVE
    );
    let entry = fleet.process(&settings).await;
    let address = entry.address;
    let key = team_key().header();
    let headers = [
        ("authorization", key.as_str()),
        ("sesamedeal-deadline-ms", "3600000"),
        ("sesamedeal-run-ms", "100"),
    ];
    let mut holding = Vec::new();
    for _ in 0..LIMIT {
        holding.push(open(address, &job_request("repair", &headers, "hold")).await);
    }
    wait_for("held jobs", async || backend.held() == LIMIT).await;
    let mut wave = Vec::with_capacity(WAVE);
    for _ in 0..WAVE {
        wave.push(open(address, &job_request("repair", &headers, "wave")).await);
    }
    wait_for("queue", async || {
        metric(address, QUEUED).await == WAVE as u64
    })
    .await;
    let served = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&served);
    let closing = tokio::task::spawn_blocking(move || {
        let rest = wave.split_off(WAVE / 2);
        drop(wave);
        // A caller that came after the first half is served before the second half leaves.
        let seen = count.load(Ordering::SeqCst);
        let begin = Instant::now();
        while count.load(Ordering::SeqCst) < seen + 2 {
            assert!(begin.elapsed() < PATIENCE, "other callers are held up");
            std::thread::yield_now();
        }
        drop(rest);
    });
    wait_for("removal", async || {
        other_caller(address).await;
        served.fetch_add(1, Ordering::SeqCst);
        metric(address, QUEUED).await == 0
    })
    .await;
    closing.await.expect("closed");
    println!("{served:?} jobs of other callers during the wave");
    backend.release();
    other_caller(address).await;
    assert!(!backend.runs().iter().any(|run| run.body == b"wave"));
}
