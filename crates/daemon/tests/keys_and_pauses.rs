//! Keys that are withdrawn, and processes that were paused.

mod common;

use std::time::Duration;

use common::caller::{exchange, job_request, metric, open, read_answer, submit};
use common::fleet::{KEY_ID, TestFleet, team_key};
use common::raw_backend::hold_backend;
use common::wait_for;
use sesamedeal_core::fleet::FleetChange;
use sesamedeal_core::ids::KeyId;
use sesamedeal_standin::platform::PlatformFaults;

/// Guards against running a job whose key was withdrawn while it was queued.
#[tokio::test]
async fn withdrawn_while_queued() {
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let address = entry.address();
    let mut holding = Vec::new();
    for _ in 0..8 {
        holding.push(open(address, &job_request("swap", &[], "hold")).await);
    }
    wait_for("held jobs", async || backend.held() == 8).await;
    let key = team_key().header();
    let headers = [("authorization", key.as_str())];
    let request = job_request("repair", &headers, "keyed");
    let mut queued = open(address, &request).await;
    let name = "sesamedeal_queued_jobs";
    wait_for("queue", async || metric(address, name).await == 1).await;
    let id = KeyId::new(KEY_ID);
    fleet.change(vec![FleetChange::WithdrawKey { id }]).await;
    wait_for("withdrawal", async || {
        exchange(address, &request).await.code() == "1005"
    })
    .await;
    backend.release();
    let answer = read_answer(&mut queued).await;
    assert_eq!((answer.code(), answer.run_state()), ("1005", "not-run"));
    assert!(!backend.runs().iter().any(|run| run.body == b"keyed"));
}

/// Guards against dispatching after a pause under a state that is no longer in force. The test's
/// runtime has one thread, so that blocking it stops the entry instance as a pause would.
#[tokio::test]
async fn dispatch_after_pause() {
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let address = entry.address();
    assert_eq!(submit(address, &[], "before").await.code(), "1000");
    fleet.platform.set_faults(PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    });
    std::thread::sleep(Duration::from_millis(1_500));
    let key = team_key().header();
    let keyed = job_request("repair", &[("authorization", &key)], "keyed");
    let refused = exchange(address, &keyed).await;
    assert_eq!((refused.code(), refused.run_state()), ("1013", "not-run"));
    let headers = [("sesamedeal-deadline-ms", "300")];
    let waited = submit(address, &headers, "open").await;
    assert_eq!((waited.code(), waited.run_state()), ("1013", "not-run"));
    assert_eq!(backend.runs().len(), 1, "only the job before the pause");
    fleet.platform.set_faults(PlatformFaults::default());
    wait_for("renewed evidence", async || {
        exchange(address, &keyed).await.code() == "1000"
    })
    .await;
    assert_eq!(submit(address, &[], "after").await.code(), "1000");
}
