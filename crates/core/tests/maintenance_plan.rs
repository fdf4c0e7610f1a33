//! Load pattern: a maintenance wave at the peak of a demand surge.

use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::{
    MaintenanceCandidate, MaintenanceWave, evacuation_limit, next_candidate,
};

fn wave(instances: usize, seconds: u64, limit: usize) -> MaintenanceWave {
    MaintenanceWave {
        number: 1,
        instances: (0..instances)
            .map(|number| InstanceName::new(format!("machine-{number}")))
            .collect(),
        complete_by: Duration::from_secs(seconds),
        limit,
    }
}

fn age(seconds: u64) -> Option<Duration> {
    Some(Duration::from_secs(seconds))
}

/// Guards against a wave that removes a fifth of the fleet at once during a surge although it has
/// enough time left.
#[test]
fn fewer_in_surge() {
    let wave = wave(21, 25, 9);
    assert_eq!(evacuation_limit(&wave, 21, age(0), false), 10);
    assert!(evacuation_limit(&wave, 21, age(0), true) <= 6);
}

/// Guards against a wave that is delayed by a long surge until it can no longer end in time.
#[test]
fn ends_in_time() {
    let wave = wave(21, 25, 9);
    let (mut remaining, mut seconds) = (21_usize, 0);
    while remaining > 0 {
        let limit = evacuation_limit(&wave, remaining, age(seconds), true);
        assert!(limit > 0, "wave makes no progress");
        // Each instance takes 5 s.
        remaining = remaining.saturating_sub(limit.min(wave.limit));
        seconds += 5;
    }
    assert!(seconds <= 25, "{seconds} s");
}

/// Guards against a new owner that treats a wave of unknown age as a new one.
#[test]
fn unknown_age() {
    assert_eq!(evacuation_limit(&wave(21, 25, 9), 21, None, true), 10);
    assert_eq!(evacuation_limit(&wave(21, 25, 9), 21, age(24), true), 10);
}

/// Guards against a late wave: long-running tasks are moved away a few at a time, and instances
/// with such tasks waited until all others were done.
#[test]
fn long_running_first() {
    let candidate = |name: &str, is_blocked, has_long_running, cpu_in_use| MaintenanceCandidate {
        is_unlisted: false,
        instance: InstanceName::new(name),
        is_evacuating: false,
        is_blocked,
        is_last_usable: false,
        has_long_running,
        cpu_in_use,
    };
    let mut candidates = vec![
        candidate("idle", false, false, 0),
        candidate("blocked", true, true, 8_000),
        candidate("busy", false, true, 60_000),
        candidate("lasting", false, true, 8_000),
    ];
    let mut order = Vec::new();
    while let Some(next) =
        next_candidate(9, 0, &candidates, |_| true).map(|next| next.instance.clone())
    {
        candidates.retain(|candidate| candidate.instance != next);
        order.push(next.to_string());
    }
    assert_eq!(order, ["lasting", "busy", "idle", "blocked"]);
}
