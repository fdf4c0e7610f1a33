//! Selection of the peers that receive loan requests.

mod scheduling;

use std::collections::BTreeSet;
use std::time::Duration;

use scheduling::{at, dispatches, drain, fleet, job, scheduler_of};
use sesamedeal_core::exchange::{LoanRequest, RequestedUnits};
use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::{SessionId, TeamName};
use sesamedeal_core::scheduler::{AttemptOutcome, SchedulerAction};

const SESSIONS: u64 = 8;

/// Time limit for the first loan request: two consecutive updates of the team order.
const FIRST_REQUEST_LIMIT: Duration = Duration::from_millis(400);

/// Sessions that own slots on which they can start a job.
fn owners(state: &FleetState) -> BTreeSet<SessionId> {
    let owns = |session: &u64| {
        let mut scheduler = scheduler_of(state, *session);
        scheduler.submit(job("clock", at(0)), at(0)).unwrap();
        !dispatches(&mut scheduler, at(0)).is_empty()
    };
    (1..=SESSIONS).filter(owns).map(SessionId).collect()
}

/// Guards against a job that misses its deadline because loan requests go to peers without slots of
/// the pool before they go to the owners.
#[test]
fn owners_only() {
    let state = fleet(2, &[("clock", 1, 1_000)], SESSIONS);
    let owners = owners(&state);
    let others = (1..=SESSIONS).filter(|session| !owners.contains(&SessionId(*session)));
    for session in others {
        let mut scheduler = scheduler_of(&state, session);
        scheduler.submit(job("clock", at(0)), at(0)).unwrap();
        let mut requested = BTreeSet::new();
        let mut first = None;
        for millis in (0..3_000).step_by(50) {
            for action in drain(&mut scheduler, at(millis)) {
                if let SchedulerAction::Exchange { peer } = action {
                    first.get_or_insert(at(millis));
                    requested.insert(peer);
                    let message = scheduler.exchange_with(peer, at(millis));
                    assert_eq!(message.requests.len(), 1, "session {session} to {peer:?}");
                }
            }
        }
        let first = first.expect("a request for a loan");
        assert!(
            first.since_origin() <= FIRST_REQUEST_LIMIT,
            "session {session}"
        );
        assert_eq!(requested, owners, "session {session}");
    }
}

/// Guards against a team that stays below its limit because an exchange happens between the end of
/// a job and the next dispatch. At that time, the freed permit hides that other jobs wait for one.
#[test]
fn freed_permit() {
    let state = fleet(4, &[("clock", 1, 8)], 2);
    let mut scheduler = scheduler_of(&state, 1);
    for _ in 0..6 {
        scheduler.submit(job("clock", at(0)), at(0)).unwrap();
    }
    let orders = dispatches(&mut scheduler, at(0));
    assert_eq!(orders.len(), 4);
    scheduler.finish(orders[0].attempt, AttemptOutcome::Answered, at(100));
    let message = scheduler.exchange_with(SessionId(2), at(100));
    let missing = LoanRequest {
        what: RequestedUnits::Permits(TeamName::new("clock")),
        units: 1,
    };
    assert_eq!(message.requests, [missing]);
}
