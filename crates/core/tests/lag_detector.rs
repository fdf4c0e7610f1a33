//! Owners that renew their lease and fall behind.

use std::time::Duration;

use sesamedeal_core::lease::{LagDetector, LagPolicy, RenewalReport};
use sesamedeal_core::time::TimePoint;

const POLICY: LagPolicy = LagPolicy {
    max_data_age: Duration::from_millis(1_500),
    min_age_at_renewal: Duration::from_millis(800),
    min_tenure: Duration::from_secs(3),
    load_limit: Duration::from_secs(5),
    store_failure_limit: Duration::from_secs(4),
};

fn renewal(number: u64, age_ms: u64) -> RenewalReport {
    RenewalReport {
        epoch: 1,
        number,
        data_age: Some(Duration::from_millis(age_ms)),
        is_loaded: true,
        had_store_failure: false,
    }
}

const fn at(millis: u64) -> TimePoint {
    TimePoint::with_millis(millis)
}

/// Guards against an owner that keeps the ownership by renewals alone.
#[test]
fn renewals_alone() {
    let mut detector = LagDetector::new(POLICY);
    detector.record(renewal(1, 300), at(1_000));
    detector.record(renewal(2, 900), at(1_600));
    assert!(!detector.is_lagging(1, at(2_100)));
    assert!(detector.is_lagging(1, at(2_200)));
    detector.record(renewal(3, 1_500), at(2_200));
    assert!(detector.is_lagging(1, at(2_200)));
    assert!(!detector.is_lagging(2, at(2_200)), "another owner");
}

/// Guards against an ownership that changes hands again and again while all instances are slow.
#[test]
fn slow_successor() {
    let mut detector = LagDetector::new(POLICY);
    detector.record(renewal(1, 2_000), at(1_000));
    assert!(detector.is_lagging(1, at(1_000)));
    let slow = RenewalReport {
        epoch: 2,
        ..renewal(1, 2_000)
    };
    detector.record(slow, at(1_500));
    assert!(!detector.is_lagging(2, at(4_400)));
    assert!(detector.is_lagging(2, at(4_500)));
}

/// Guards against a change of the owner in an outage of the store for everybody, and right after
/// it, when every owner is behind.
#[test]
fn store_outage() {
    let mut detector = LagDetector::new(POLICY);
    detector.record(renewal(1, 300), at(1_000));
    assert!(!detector.is_lagging(1, at(5_000)));
    for (number, millis) in (2..).zip([5_000, 5_500, 6_000]) {
        let excused = RenewalReport {
            had_store_failure: true,
            ..renewal(number, millis - 700)
        };
        detector.record(excused, at(millis));
        assert!(!detector.is_lagging(1, at(millis + 400)));
    }
    detector.record(renewal(5, 300), at(6_500));
    assert!(!detector.is_lagging(1, at(7_000)));
}

/// Guards against an owner that is excused for ever.
#[test]
fn lasting_excuse() {
    let mut detector = LagDetector::new(POLICY);
    for number in 1..12 {
        let excused = RenewalReport {
            had_store_failure: true,
            ..renewal(number, 500 * number)
        };
        let now = at(500 * number);
        detector.record(excused, now);
        assert_eq!(detector.is_lagging(1, now), number >= 9, "renewal {number}");
    }
}

/// Guards against a new owner that is replaced before it could read the jobs, so that no owner ever
/// does.
#[test]
fn loading_owner() {
    let mut detector = LagDetector::new(POLICY);
    for number in 1..16 {
        let loading = RenewalReport {
            is_loaded: false,
            ..renewal(number, 60_000)
        };
        let now = at(1_000 + 500 * number);
        detector.record(loading, now);
        assert_eq!(
            detector.is_lagging(1, now),
            number >= 11,
            "renewal {number}"
        );
    }
}

/// Guards against a renewal that is read again and seems new.
#[test]
fn same_renewal() {
    let mut detector = LagDetector::new(POLICY);
    detector.record(renewal(4, 300), at(1_000));
    detector.record(renewal(4, 1_300), at(2_000));
    assert!(!detector.is_lagging(1, at(3_000)));
}
