//! Load pattern: a wave of upkeep at the peak of a surge.

use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::{MaintenanceWave, upkeep_room};

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
    assert_eq!(upkeep_room(&wave, 21, age(0), false), 10);
    assert!(upkeep_room(&wave, 21, age(0), true) <= 6);
}

/// Guards against a wave that is put off until it cannot end in time, however long the surge lasts.
#[test]
fn ends_in_time() {
    let wave = wave(21, 25, 9);
    let (mut remaining, mut seconds) = (21_usize, 0);
    while remaining > 0 {
        let room = upkeep_room(&wave, remaining, age(seconds), true);
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
    assert_eq!(upkeep_room(&wave(21, 25, 9), 21, None, true), 10);
    assert_eq!(upkeep_room(&wave(21, 25, 9), 21, age(24), true), 10);
}
