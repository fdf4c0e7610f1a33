//! Acquisition, renewal and takeover of the controller lease.

use assert_matches::assert_matches;
use sesamedeal_core::ids::SessionId;
use sesamedeal_core::lease::{LeaseAction, LeaseCandidate, LeasePolicy, LeaseRecord};
use sesamedeal_core::time::TimePoint;

fn at(millis: u64) -> TimePoint {
    TimePoint::with_millis(millis)
}

fn candidate(session: u64) -> LeaseCandidate {
    LeaseCandidate::new(SessionId(session), LeasePolicy::new())
}

/// Guards against a takeover before the candidate's own clock shows 5 s without a renewal, and
/// against a takeover that does not increment the epoch.
#[test]
fn expiry_observed() {
    let mut second = candidate(2);
    let mut row = LeaseRecord {
        holder: SessionId(1),
        epoch: 7,
        renewals: 100,
    };
    assert_eq!(second.step(Some(&row), at(0)), LeaseAction::Wait);
    assert_eq!(second.step(Some(&row), at(4_900)), LeaseAction::Wait);
    row.renewals += 1;
    assert_eq!(second.step(Some(&row), at(5_100)), LeaseAction::Wait);
    assert_eq!(second.step(Some(&row), at(10_100)), LeaseAction::Wait);
    let taken = LeaseRecord {
        holder: SessionId(2),
        epoch: 8,
        renewals: 0,
    };
    assert_eq!(
        second.step(Some(&row), at(10_101)),
        LeaseAction::Acquire(taken)
    );
}

/// Guards against a holder that does not renew each second, and one that acts after it may have
/// lost the lease.
#[test]
fn overdue_renewal() {
    let mut first = candidate(1);
    let action = first.step(None, at(0));
    let LeaseAction::Acquire(row) = action else {
        panic!("{action:?}");
    };
    assert_eq!(first.epoch(at(0)), None, "not confirmed");
    first.confirm(&row, at(0));
    assert_eq!(first.epoch(at(500)), Some(1));
    assert_eq!(first.step(Some(&row), at(900)), LeaseAction::Hold);
    assert_matches!(
        first.step(Some(&row), at(1_000)),
        LeaseAction::Renew(LeaseRecord {
            epoch: 1,
            renewals: 1,
            ..
        })
    );
    assert_eq!(first.epoch(at(3_999)), Some(1));
    assert_eq!(first.epoch(at(4_000)), None, "a renewal is overdue");
    let other = LeaseRecord {
        holder: SessionId(2),
        epoch: 2,
        renewals: 0,
    };
    first.confirm(&row, at(4_500));
    assert_eq!(first.step(Some(&other), at(5_000)), LeaseAction::Wait);
    assert_eq!(first.epoch(at(5_000)), None);
}

/// Guards against two holders at the same time, and against a holder that does not recognise its
/// lease after the response to its write was lost. Three candidates compete for the row with
/// conditional writes, and a quarter of the responses are lost.
#[test]
fn single_holder() {
    let mut candidates: Vec<LeaseCandidate> = (1..=3).map(candidate).collect();
    let mut row: Option<(u64, LeaseRecord)> = None;
    let mut epochs = Vec::new();
    let mut choice = 12_345_u64;
    for millis in (0..600_000).step_by(250) {
        choice = choice
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let at_candidate = (choice >> 33) as usize % 3;
        // The first candidate is paused from 100 s to 200 s.
        if at_candidate == 0 && (100_000..200_000).contains(&millis) {
            continue;
        }
        let read = row;
        let candidate = &mut candidates[at_candidate];
        let record = read.map(|(_, record)| record);
        let action = candidate.step(record.as_ref(), at(millis));
        let (LeaseAction::Acquire(next) | LeaseAction::Renew(next)) = action else {
            continue;
        };
        row = Some((read.map_or(0, |(version, _)| version) + 1, next));
        if !(choice >> 20).is_multiple_of(4) {
            candidate.confirm(&next, at(millis));
        }
        if epochs.last() != Some(&next.epoch) {
            epochs.push(next.epoch);
        }
        let holders = candidates
            .iter()
            .filter(|candidate| candidate.epoch(at(millis)).is_some())
            .count();
        assert!(holders <= 1, "{holders} holders at {millis} ms");
    }
    assert!(epochs.windows(2).all(|pair| pair[0] < pair[1]));
    assert!(epochs.len() >= 2, "the paused holder was replaced");
}
