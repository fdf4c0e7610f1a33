//! Urgent jobs on a fleet without a free slot.

mod common;

use std::time::Duration;

use common::caller::{job_request, metric, open, read_answer, submit};
use common::fleet::{TestFleet, team_key};
use common::raw_backend::hold_backend;
use common::wait_for;

const SLOTS: usize = 8;

/// Guards against an urgent job that waits behind tasks of a team above its share, and against a
/// task that is stopped in its favour and gets no result.
#[tokio::test]
async fn stops_task() {
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let mut settings = fleet.settings();
    settings.urgent_start = Duration::from_secs(1);
    settings.task_lease = Duration::from_secs(600);
    let entry = fleet.entry_with(settings).await;
    let address = entry.address();
    let patient = [
        ("sesamedeal-deadline-ms", "600000"),
        ("sesamedeal-idempotent", "1"),
    ];
    let mut held = Vec::new();
    for _ in 0..SLOTS {
        held.push(open(address, &job_request("swap", &patient, "hold")).await);
    }
    wait_for("held jobs", async || backend.held() == SLOTS).await;
    let key = team_key().header();
    let urgent = [("authorization", key.as_str()), ("sesamedeal-urgent", "1")];
    let mut first = open(address, &job_request("repair", &urgent, "urgent")).await;
    assert_eq!(read_answer(&mut first).await.code(), "1000");
    assert_eq!(backend.stops().len(), 1, "one task for one urgent job");
    // The stopped job runs again.
    wait_for("second run", async || backend.held() == SLOTS).await;
    assert_eq!(backend.runs().len(), SLOTS + 2);
    backend.release();
    for stream in &mut held {
        let answer = read_answer(stream).await;
        assert_eq!((answer.code(), answer.text().as_str()), ("1000", "held"));
    }
    wait_for("no attempts", async || {
        metric(address, "sesamedeal_running_attempts").await == 0
    })
    .await;
    assert_eq!(submit(address, &[], "next").await.code(), "1000");
}
