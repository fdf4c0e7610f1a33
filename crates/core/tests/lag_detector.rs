//! Detection of owners that renew their lease and fall behind the store.

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

/// Guards against an owner that keeps the ownership because its renewals continue, although it no
/// longer processes new data.
#[test]
fn renewals_only() {
    let mut detector = LagDetector::new(POLICY);
    detector.record(renewal(1, 300), at(1_000));
    detector.record(renewal(2, 900), at(1_600));
    assert!(!detector.is_lagging(1, at(2_100)));
    assert!(detector.is_lagging(1, at(2_200)));
    detector.record(renewal(3, 1_500), at(2_200));
    assert!(detector.is_lagging(1, at(2_200)));
    assert!(!detector.is_lagging(2, at(2_200)), "another owner");
}

/// Guards against repeated changes of ownership while all instances are slow: a slow successor is
/// not replaced for 3 s.
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

/// Guards against replacing the owner during a store outage that affects all instances, and
/// directly after it, when any owner would be behind.
#[test]
fn store_outage() {
    let mut detector = LagDetector::new(POLICY);
    detector.record(renewal(1, 300), at(1_000));
    assert!(!detector.is_lagging(1, at(5_000)));
    for (number, millis) in (2..).zip([5_000, 5_500, 6_000]) {
        let failing = RenewalReport {
            had_store_failure: true,
            ..renewal(number, millis - 700)
        };
        detector.record(failing, at(millis));
        assert!(!detector.is_lagging(1, at(millis + 400)));
    }
    detector.record(renewal(5, 300), at(6_500));
    assert!(!detector.is_lagging(1, at(7_000)));
}

/// Guards against an owner that is never replaced because store failures keep occurring: they
/// protect it for at most 4 s.
#[test]
fn lasting_failures() {
    let mut detector = LagDetector::new(POLICY);
    for number in 1..12 {
        let failing = RenewalReport {
            had_store_failure: true,
            ..renewal(number, 500 * number)
        };
        let now = at(500 * number);
        detector.record(failing, now);
        assert_eq!(detector.is_lagging(1, now), number >= 9, "renewal {number}");
    }
}

/// Guards against replacing a new owner before it has had time to read the jobs. Otherwise no owner
/// would ever finish reading them.
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

/// Guards against counting a renewal as new when it is read again.
#[test]
fn same_renewal() {
    let mut detector = LagDetector::new(POLICY);
    detector.record(renewal(4, 300), at(1_000));
    detector.record(renewal(4, 1_300), at(2_000));
    assert!(!detector.is_lagging(1, at(3_000)));
}
