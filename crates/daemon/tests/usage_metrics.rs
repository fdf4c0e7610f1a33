//! Queues and units on the metrics page.

mod common;

use common::caller::{job_request, metric, open};
use common::fleet::TestFleet;
use common::raw_backend::hold_backend;
use common::wait_for;

/// Slots of the fleet's single backend server.
const SLOTS: usize = 8;

/// Jobs beyond the slots.
const WAITING: usize = 3;

/// Guards against a metrics page that hides which team waits and which units are in use.
#[tokio::test]
async fn queues_and_units() {
    let backend = hold_backend().await;
    let fleet = TestFleet::start(&[backend.address]).await;
    let entry = fleet.entry().await;
    let address = entry.address();
    let mut callers = Vec::new();
    for _ in 0..SLOTS {
        callers.push(open(address, &job_request("swap", &[], "hold")).await);
    }
    wait_for("held jobs", async || backend.held() == SLOTS).await;
    for _ in 0..WAITING {
        callers.push(open(address, &job_request("swap", &[], "hold")).await);
    }
    let queued = "sesamedeal_team_queued_jobs{pool=\"rota\",team=\"open\"}";
    wait_for("queue", async || {
        metric(address, queued).await == WAITING as u64
    })
    .await;
    let held = "sesamedeal_team_held_slots{pool=\"rota\",team=\"open\"}";
    assert_eq!(metric(address, held).await, SLOTS as u64);
    for (kind, slots) in [("owned", SLOTS), ("in-use", SLOTS), ("lent", 0)] {
        let name = format!("sesamedeal_pool_slots{{kind=\"{kind}\",pool=\"rota\"}}");
        assert_eq!(metric(address, &name).await, slots as u64, "{kind}");
    }
    let name = "sesamedeal_team_permits{kind=\"in-use\",team=\"open\"}";
    assert_eq!(metric(address, name).await, SLOTS as u64);
    let owned = "sesamedeal_team_permits{kind=\"owned\",team=\"open\"}";
    assert!(metric(address, owned).await >= SLOTS as u64);
}
