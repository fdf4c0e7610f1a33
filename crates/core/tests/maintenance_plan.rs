//! Load pattern: a wave of upkeep at the peak of a surge.

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

/// Guards against a wave that takes a fifth of the fleet out of a surge at once, although it has
/// time enough.
#[test]
fn spares_surge() {
    let wave = wave(21, 25, 9);
    assert_eq!(evacuation_limit(&wave, 21, age(0), false), 10);
    assert!(evacuation_limit(&wave, 21, age(0), true) <= 6);
}

/// Guards against a wave that is put off until it cannot end in time, however long the surge lasts.
#[test]
fn ends_in_time() {
    let wave = wave(21, 25, 9);
    let (mut remaining, mut seconds) = (21_usize, 0);
    while remaining > 0 {
        let room = evacuation_limit(&wave, remaining, age(seconds), true);
        assert!(room > 0, "stands still");
        // Each instance takes 5 s.
        remaining = remaining.saturating_sub(room.min(wave.limit));
        seconds += 5;
    }
    assert!(seconds <= 25, "{seconds} s");
}

/// Guards against a new owner that takes an old wave for a new one.
#[test]
fn unknown_age() {
    assert_eq!(evacuation_limit(&wave(21, 25, 9), 21, None, true), 10);
    assert_eq!(evacuation_limit(&wave(21, 25, 9), 21, age(24), true), 10);
}

/// Guards against a wave that is late for its instances with lasting tasks, which are moved away a
/// few at a time: they waited until all others were done.
#[test]
fn lasting_first() {
    let choice = |name: &str, is_blocked, has_long_running, cpu_in_use| MaintenanceCandidate {
        instance: InstanceName::new(name),
        is_evacuating: false,
        is_blocked,
        is_last_usable: false,
        has_long_running,
        cpu_in_use,
    };
    let mut choices = vec![
        choice("idle", false, false, 0),
        choice("blocked", true, true, 8_000),
        choice("busy", false, true, 60_000),
        choice("lasting", false, true, 8_000),
    ];
    let mut order = Vec::new();
    while let Some(next) = next_candidate(9, 0, &choices).map(|next| next.instance.clone()) {
        choices.retain(|choice| choice.instance != next);
        order.push(next.to_string());
    }
    assert_eq!(order, ["lasting", "busy", "idle", "blocked"]);
}
