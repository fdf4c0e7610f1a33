//! Connections to backend servers: their number and their use for further requests.

mod common;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use common::caller::{job_request, open, read_answer, submit};
use common::fleet::TestFleet;
use common::raw_backend::{RawBackend, Reaction, hold_backend};
use common::wait_for;
use tokio::net::TcpStream;
use tokio::time::sleep;

const SLOTS: usize = 8;

/// Guards against a connection per job, and against more connections than attempts at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bounded_and_reused() {
    let backend =
        RawBackend::start(|request| Reaction::Send(request.answer("200 OK", "done"))).await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let address = entry.address();
    for _ in 0..20 {
        assert_eq!(submit(address, &[], "one").await.code(), "1000");
    }
    assert_eq!(backend.connections(), 1, "jobs one after another share it");
    let callers: Vec<_> = (0..40)
        .map(|_| {
            tokio::spawn(async move {
                for _ in 0..10 {
                    assert_eq!(submit(address, &[], "many").await.code(), "1000");
                }
            })
        })
        .collect();
    for caller in callers {
        caller.await.expect("caller");
    }
    assert_eq!(backend.runs().len(), 420);
    let connections = backend.connections();
    assert!(connections <= SLOTS, "{connections} connections");
}

/// Guards against more connections to a worker than it takes, when several entry instances use all
/// of its slots in turn, keep idle connections, and then use the worker together and stop abandoned
/// attempts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bounded_over_entries() {
    // With all connections kept, ten entry instances would hold eighty.
    const ENTRIES: usize = 10;
    const LIMIT: usize = 64;
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let mut entries = Vec::new();
    for _ in 0..ENTRIES {
        let mut settings = fleet.settings();
        settings.exchange_period = Duration::from_millis(100);
        entries.push(fleet.entry_with(settings).await);
    }
    for entry in &entries {
        let mut held = open_many(entry.address(), "hold").await;
        wait_for("all slots", async || backend.held() == SLOTS).await;
        backend.release();
        for caller in &mut held {
            assert_eq!(read_answer(caller).await.code(), "1000");
        }
    }
    let calls = entries.iter().map(|entry| async {
        let abandoned = open_many(entry.address(), "hold").await;
        wait_for("a held job", async || backend.held() > 0).await;
        drop(abandoned);
        for caller in &mut open_many(entry.address(), "done").await {
            assert_eq!(read_answer(caller).await.code(), "1000");
        }
    });
    futures::future::join_all(calls).await;
    let runs = backend.runs();
    // The number of an attempt follows the session in 16 digits.
    let session = |attempt: &str| attempt[..attempt.len() - 16].to_owned();
    let senders: HashSet<_> = runs.iter().map(|run| session(run.attempt())).collect();
    assert_eq!(senders.len(), ENTRIES, "each used the worker");
    assert!(!backend.stops().is_empty(), "abandoned attempts stopped");
    let peak = backend.peak();
    println!("at most {peak} connections at once");
    assert!(peak <= LIMIT, "{peak} connections");
}

/// Opens a job for each slot at an entry instance.
async fn open_many(address: SocketAddr, body: &str) -> Vec<TcpStream> {
    let patient = [("sesamedeal-deadline-ms", "600000")];
    let jobs =
        (0..SLOTS).map(|_| async { open(address, &job_request("swap", &patient, body)).await });
    futures::future::join_all(jobs).await
}

/// Guards against reporting a job as lost because an idle connection had been closed.
#[tokio::test]
async fn closed_while_idle() {
    let backend =
        RawBackend::start(|request| Reaction::SendAndClose(request.answer("200 OK", "done"))).await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    for number in 1..=20 {
        assert_eq!(submit(entry.address(), &[], "one").await.code(), "1000");
        wait_for("close", async || backend.closed() == number).await;
        // The entry instance's runtime has to see the close before the next job.
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(backend.runs().len(), 20);
}
