//! Connections to backend servers: their number and their use for further requests.

mod common;

use std::time::Duration;

use common::caller::submit;
use common::fleet::TestFleet;
use common::raw_backend::{RawBackend, Reaction};
use common::wait_for;
use tokio::time::sleep;

/// Guards against a connection per job, and against more connections than attempts at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bounded_and_reused() {
    const SLOTS: usize = 8;
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
