//! Tests of the evidence that the state of an entry instance is current.

use std::time::Duration;

use sesamedeal_core::evidence::{
    EvidencePolicy, EvidenceTracker, EvidenceVerdict, PauseDetector, PeerEvidence, check_evidence,
};
use sesamedeal_core::fleet::SessionView;
use sesamedeal_core::ids::{Generation, SessionId};
use sesamedeal_core::time::TimePoint;

const MILLI: fn(u64) -> Duration = Duration::from_millis;

fn peer(session: u64, heard: u64, evidence: Option<u64>, generation: u64) -> PeerEvidence {
    PeerEvidence {
        session: SessionId(session),
        heard: MILLI(heard),
        evidence: evidence.map(MILLI),
        generation: Generation(generation),
    }
}

/// Runs the check for session 1 of a view with `members` sessions under generation 5.
fn check(age: Option<u64>, members: u64, peers: &[PeerEvidence]) -> EvidenceVerdict {
    let view = SessionView::new((1..=members).map(SessionId).collect());
    check_evidence(
        &EvidencePolicy::new(),
        SessionId(1),
        Generation(5),
        age.map(MILLI),
        &view,
        peers,
    )
}

/// Guards against work that continues without recent evidence while the store may be reachable.
#[test]
fn verdicts() {
    use EvidenceVerdict::{Current, Stale, StoreDown};
    let old = [peer(2, 100, Some(9_000), 5), peer(3, 100, Some(9_000), 5)];
    for (age, members, peers, expected) in [
        (Some(2_499), 8, &[][..], Current),
        (Some(2_500), 8, &[], Stale),
        // Three of four members are in contact and no peer has newer evidence.
        (Some(8_000), 4, &old, StoreDown),
        // Exactly half of the members is no majority.
        (Some(8_000), 6, &old, Stale),
        (Some(8_000), 5, &old, StoreDown),
        // A peer has newer evidence or a newer generation.
        (Some(9_500), 4, &old, Stale),
        (
            Some(8_000),
            4,
            &[old[0], peer(3, 100, Some(9_000), 6)],
            Stale,
        ),
        // Peers without recent contact, outside the view, equal to this entry instance, or listed
        // twice.
        (Some(8_000), 4, &[old[0], peer(3, 2_500, None, 5)], Stale),
        (Some(8_000), 4, &[old[0], peer(9, 100, None, 5)], Stale),
        (Some(8_000), 4, &[old[0], peer(1, 100, None, 5)], Stale),
        (Some(8_000), 4, &[old[0], old[0]], Stale),
        // No evidence, for example after a pause.
        (None, 4, &old, Stale),
        (None, 1, &[], Stale),
        (Some(8_000), 1, &[], StoreDown),
    ] {
        assert_eq!(
            check(age, members, peers),
            expected,
            "{age:?} {members} {peers:?}"
        );
    }
}

/// Guards against the use of evidence from before a pause, including before the first tick after
/// the pause.
#[test]
fn pause_invalidates() {
    let at = TimePoint::with_millis;
    let mut tracker = EvidenceTracker::new();
    tracker.record_applied(Generation(5));
    assert!(!tracker.tick(at(0)));
    tracker.record_head(Generation(5), at(10));
    assert_eq!(tracker.age(at(1_000)), Some(MILLI(990)));
    assert_eq!(tracker.age(at(1_001)), None, "no tick for more than 1 s");
    assert!(tracker.tick(at(1_001)));
    assert_eq!(tracker.age(at(1_002)), None);
    tracker.record_head(Generation(5), at(1_003));
    assert_eq!(tracker.age(at(1_010)), Some(MILLI(7)));
    assert_eq!(PauseDetector::MAX_GAP, MILLI(1_000));
}

/// Guards against counting evidence of a head before that head is applied.
#[test]
fn newer_head_pending() {
    let at = TimePoint::with_millis;
    let mut tracker = EvidenceTracker::new();
    tracker.record_applied(Generation(5));
    tracker.record_head(Generation(5), at(100));
    tracker.record_head(Generation(7), at(500));
    assert_eq!(tracker.age(at(600)), Some(MILLI(500)));
    tracker.record_applied(Generation(6));
    assert_eq!(tracker.age(at(600)), Some(MILLI(500)));
    tracker.record_applied(Generation(7));
    assert_eq!(tracker.age(at(600)), Some(MILLI(100)));
    tracker.record_head(Generation(6), at(550));
    assert_eq!(tracker.age(at(600)), Some(MILLI(50)));
}
