//! Time until a change of the configuration is in force after a disruption of the store.

mod common;

use std::time::Duration;

use common::TestCluster;
use common::timed_store::{StoreFault, TimedStore};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::lease::InstanceCapacity;
use tokio::time::sleep;

/// Time after the acknowledgement of a change from which no request may be handled without it.
const CHANGE_BOUND: Duration = Duration::from_millis(2_000);

/// Time after the end of a disruption from which the bound holds.
const STABLE_TIME: Duration = Duration::from_millis(3_000);

/// Interval between two checks of the configuration in force.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Number of random series of disruptions.
const SERIES_COUNT: u64 = 300;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Times of changes, one each `period` from `from` to `until`.
fn changes(from: Duration, until: Duration, period: Duration) -> Vec<Duration> {
    let times = std::iter::successors(Some(from), |time| Some(*time + period));
    let series = times.take_while(|time| *time <= until);
    std::iter::once(Duration::ZERO).chain(series).collect()
}

/// Plays the faults and returns the first violation: when, the version in force, and the version
/// that must be in force.
async fn first_violation(
    changes: Vec<Duration>,
    faults: Vec<StoreFault>,
    length: Duration,
) -> Option<(Duration, u64, u64)> {
    let store = TimedStore::new(changes, faults.clone());
    let cluster = TestCluster::new(1);
    let node = cluster.node_with_port("entry-1", store.port(), InstanceCapacity::default());
    while store.now() < length {
        sleep(CHECK_PERIOD).await;
        let now = store.now();
        let is_disturbed =
            |fault: &StoreFault| fault.begin() <= now && now < fault.end() + STABLE_TIME;
        if now < STABLE_TIME || faults.iter().any(is_disturbed) {
            continue;
        }
        let required = store.version_at(now.saturating_sub(CHANGE_BOUND));
        let version = node
            .view()
            .load()
            .map_or(0, |deployment| deployment.version);
        if version < required {
            return Some((now, version, required));
        }
    }
    None
}

/// Guards against a retry that was sent just before the end of an outage, is lost, and hides the
/// return of the store for as long as a call may wait for a change.
#[tokio::test(start_paused = true)]
async fn retry_in_outage() {
    for length in (100..6_000).step_by(100) {
        let outage = StoreFault::Silence {
            from: ms(4_000),
            until: ms(4_000 + length),
        };
        let changes = changes(ms(3_900), ms(12_000), ms(170));
        let violation = first_violation(changes, vec![outage], ms(14_000)).await;
        assert_eq!(violation, None, "outage of {length} ms");
    }
}

/// Guards against a call on a connection that has gone silent, with no failure before it.
#[tokio::test(start_paused = true)]
async fn silent_connection() {
    for at in (4_000..7_000).step_by(100) {
        let fault = StoreFault::SilentConnections { at: ms(at) };
        let changes = vec![ms(0), ms(at + 200), ms(at + 900)];
        let violation = first_violation(changes, vec![fault], ms(12_000)).await;
        assert_eq!(violation, None, "silent from {at} ms on");
    }
}

/// Guards against a time limit that one late answer, such as after a pause of the process, raises
/// without a bound.
#[tokio::test(start_paused = true)]
async fn limit_after_pause() {
    for pause in (200..4_000).step_by(100) {
        let slow = StoreFault::Delay {
            from: ms(4_000),
            until: ms(6_600),
            delay: ms(pause),
        };
        for after in [100, 600, 1_500] {
            let at = ms(6_600 + pause + after);
            let silent = StoreFault::SilentConnections { at };
            let changes = vec![ms(0), at + ms(100), at + ms(900)];
            let violation = first_violation(changes, vec![slow, silent], ms(18_000)).await;
            assert_eq!(
                violation, None,
                "pause of {pause} ms, silent {after} ms later"
            );
        }
    }
}

/// Guards against configurations that stay old after disruptions that overlap or follow each other.
#[tokio::test(start_paused = true)]
async fn overlapping_faults() {
    for seed in 0..SERIES_COUNT {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let count = random.random_range(1..7);
        let faults: Vec<StoreFault> = (0..count).map(|_| random_fault(&mut random)).collect();
        let period = ms(random.random_range(150..1_500));
        let changes = changes(ms(500), ms(24_000), period);
        let violation = first_violation(changes, faults.clone(), ms(28_000)).await;
        assert_eq!(violation, None, "seed {seed}: {faults:?}");
    }
}

fn random_fault(random: &mut Pcg64Mcg) -> StoreFault {
    let from = ms(random.random_range(500..20_000));
    let until = from + ms(random.random_range(50..5_000));
    match random.random_range(0..6) {
        0 => StoreFault::Silence { from, until },
        1 => StoreFault::Refusal { from, until },
        2 => StoreFault::Delay {
            from,
            until,
            delay: ms(random.random_range(50..3_000)),
        },
        3 => StoreFault::SilentConnections { at: from },
        4 => StoreFault::DroppedHistory { at: from },
        _ => StoreFault::LaggingReads {
            from,
            until,
            lag: ms(random.random_range(100..6_000)),
        },
    }
}
