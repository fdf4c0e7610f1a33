//! Contents of the messages that entry instances exchange.

mod scheduling;

use std::time::Duration;

use scheduling::{at, dispatches, drain, fleet, job};
use sesamedeal_core::exchange::{ExchangeMessage, PairSlot, UsageEntry, UsageSummary, origin_hash};
use sesamedeal_core::ids::{Generation, InstanceName, SessionId};
use sesamedeal_core::scheduler::{AttemptOutcome, JobScheduler, SchedulerAction, SchedulerPolicy};

fn start(sessions: u64) -> Vec<JobScheduler> {
    let state = fleet(4, &[("one", 1, 100)], sessions);
    let create = |session| {
        let policy = SchedulerPolicy::new();
        let mut scheduler = JobScheduler::new(SessionId(session), policy, session);
        scheduler.apply(&state, Generation(1), at(0));
        scheduler
    };
    (1..=sessions).map(create).collect()
}

fn send(schedulers: &mut [JobScheduler], from: usize, to: usize, now: u64) -> ExchangeMessage {
    let receiver = SessionId(to as u64 + 1);
    let message = schedulers[from].exchange_with(receiver, at(now));
    schedulers[to].receive(&message, at(now));
    message
}

/// Guards against evidence whose age decreases when it is relayed, or that is lost on the way.
#[test]
fn relayed_evidence() {
    let mut schedulers = start(3);
    schedulers[0].set_evidence(Some(Duration::from_millis(100)), at(1_000));
    send(&mut schedulers, 0, 1, 1_200);
    send(&mut schedulers, 1, 2, 1_500);
    let heard = schedulers[2].heard(Duration::from_millis(2_500), at(1_600));
    assert!(heard.contains(&(
        SessionId(1),
        Duration::from_millis(400),
        Some(Duration::from_millis(700)),
        Generation(1),
    )));
    assert_eq!(
        schedulers[2].newest_evidence(at(1_600)),
        Some(Duration::from_millis(700))
    );
    assert!(
        schedulers[2]
            .heard(Duration::from_millis(2_500), at(4_100))
            .is_empty()
    );
}

/// Guards against relaying summaries that the peer already has or did not request, and against an
/// older summary that replaces a newer one.
#[test]
fn usage_versions() {
    let mut schedulers = start(3);
    schedulers[0].submit(job("one", at(0)), at(0)).unwrap();
    dispatches(&mut schedulers[0], at(0));
    let first = send(&mut schedulers, 0, 1, 500);
    assert_eq!(first.usage.len(), 1);
    send(&mut schedulers, 0, 2, 500);
    assert!(send(&mut schedulers, 1, 2, 600).usage.is_empty());
    let second = send(&mut schedulers, 0, 2, 1_600);
    assert!(second.usage[0].version > first.usage[0].version);
    schedulers[2].receive(&first, at(1_650));
    let listed = send(&mut schedulers, 1, 2, 1_700).listed;
    assert_eq!(listed[&origin_hash(SessionId(1))], first.usage[0].version);
    let relayed = send(&mut schedulers, 2, 1, 1_700);
    assert_eq!(relayed.usage[0].origin, origin_hash(SessionId(1)));
    assert_eq!(relayed.usage[0].version, second.usage[0].version);
    assert_eq!(relayed.usage[0].age, Duration::from_millis(100));
    send(&mut schedulers, 1, 2, 2_200);
    assert!(send(&mut schedulers, 2, 1, 2_200).usage.is_empty());
}

/// Guards against changes that are applied to a version other than their base version, and against
/// a peer that does not catch up after a lost message.
#[test]
fn lost_changes() {
    let mut schedulers = start(2);
    let origin = origin_hash(SessionId(1));
    schedulers[0].submit(job("one", at(0)), at(0)).unwrap();
    dispatches(&mut schedulers[0], at(0));
    let first = send(&mut schedulers, 0, 1, 500).usage.remove(0);
    let mut now = 500;
    let mut grow = |schedulers: &mut [JobScheduler]| {
        now += 500;
        for _ in 0..40 {
            let spec = job("one", at(now));
            schedulers[0].submit(spec, at(now)).unwrap();
        }
        dispatches(&mut schedulers[0], at(now));
        now
    };
    let at_lost = grow(&mut schedulers);
    let lost = schedulers[0].exchange_with(SessionId(2), at(at_lost));
    assert_eq!((lost.usage[0].steps, lost.usage[0].entries.len()), (1, 1));
    let at_next = grow(&mut schedulers);
    let next = send(&mut schedulers, 0, 1, at_next);
    assert_eq!(next.usage[0].steps, 1);
    let answer = send(&mut schedulers, 1, 0, at_next);
    assert!(answer.listed.is_empty());
    let listed = send(&mut schedulers, 1, 0, at_next).listed;
    assert_eq!(listed[&origin], first.version);
    let answer = send(&mut schedulers, 0, 1, at_next);
    assert_eq!(answer.usage[0].steps, 2);
    let listed = send(&mut schedulers, 1, 0, at_next + 500).listed;
    assert_eq!(listed[&origin], next.usage[0].version);
}

/// Guards against summaries with usage that the receiver can compute itself, and against a new
/// backlog that is reported late.
#[test]
fn steady_usage() {
    let mut schedulers = start(2);
    for _ in 0..4 {
        schedulers[0].submit(job("one", at(0)), at(0)).unwrap();
    }
    dispatches(&mut schedulers[0], at(0));
    let mut entries = 0;
    for round in 1..=20 {
        let message = send(&mut schedulers, 0, 1, round * 500);
        let sent = message.usage.iter().map(|usage| usage.entries.len());
        entries += sent.sum::<usize>();
    }
    assert_eq!(entries, 1);
    for _ in 0..40 {
        let spec = job("one", at(10_100));
        schedulers[0].submit(spec, at(10_100)).unwrap();
    }
    dispatches(&mut schedulers[0], at(10_100));
    let message = send(&mut schedulers, 0, 1, 10_500);
    assert!(message.usage[0].entries[0].queued > 0);
}

/// Guards against dispatches to a leaving worker by an entry instance that was informed by a peer,
/// and against entry instances that keep renewing the leaving mark through each other's messages.
#[test]
fn leaving_mark_relayed() {
    let mut schedulers = start(2);
    for worker in 0..4 {
        let name = InstanceName::new(format!("worker-{worker}"));
        schedulers[0].mark_leaving(&name, at(0));
    }
    send(&mut schedulers, 0, 1, 100);
    schedulers[1].submit(job("one", at(100)), at(100)).unwrap();
    assert!(dispatches(&mut schedulers[1], at(100)).is_empty());
    for round in 1..=120 {
        send(&mut schedulers, 0, 1, round * 500);
        send(&mut schedulers, 1, 0, round * 500);
    }
    schedulers[1]
        .submit(job("one", at(61_000)), at(61_000))
        .unwrap();
    assert_eq!(dispatches(&mut schedulers[1], at(61_000)).len(), 1);
}

/// Guards against a usage half-life in the policy that has no effect.
#[test]
fn set_half_life() {
    let mut policy = SchedulerPolicy::new();
    policy.share_half_life = Duration::from_secs(1);
    let mut scheduler = JobScheduler::new(SessionId(1), policy, 1);
    scheduler.apply(&fleet(4, &[("one", 1, 100)], 2), Generation(1), at(0));
    scheduler.submit(job("one", at(0)), at(0)).unwrap();
    let orders = dispatches(&mut scheduler, at(0));
    scheduler.finish(orders[0].attempt, AttemptOutcome::Answered, at(1_000));
    // Only the first message to a peer contains all entries.
    let usage = [(2, 1_000), (3, 2_000)].map(|(peer, now)| {
        let message = scheduler.exchange_with(SessionId(peer), at(now));
        message.usage[0].entries[0].usage
    });
    // After one half-life, the usage of one held slot has reached half of its limit.
    assert_eq!(usage, [72, 36]);
}

/// Guards against processing a message of another protocol version.
#[test]
fn other_version() {
    let mut schedulers = start(2);
    let mut message = schedulers[0].exchange_with(SessionId(2), at(0));
    message.version += 1;
    schedulers[1].receive(&message, at(0));
    assert!(schedulers[1].heard(Duration::MAX, at(0)).is_empty());
}

/// Sends the versions that the second scheduler has to the first, with one of a session that no
/// longer exists.
fn send_versions(schedulers: &mut [JobScheduler], now: u64) {
    let mut message = schedulers[1].exchange_with(SessionId(1), at(now));
    message.listed.insert(7, 1);
    schedulers[0].receive(&message, at(now));
}

/// Guards against messages larger than 64 KB, and against a next message that repeats the same
/// summaries instead of sending the remaining ones.
#[test]
fn bounded_message() {
    let mut schedulers = start(2);
    for origin in 10..100 {
        let mut message = ExchangeMessage::new(SessionId(origin), Generation(1));
        let slots = (0..300).map(|number| u32::MAX - number);
        let pairs = slots.clone().map(|slot| PairSlot { slot, pair: slot });
        let entries = slots.map(|slot| UsageEntry {
            slot,
            usage: u32::MAX,
            rate: u32::MAX,
            queued: u32::MAX,
        });
        message.usage.push(UsageSummary {
            origin: origin_hash(SessionId(origin)),
            version: 1,
            steps: 0,
            age: Duration::ZERO,
            pairs: pairs.collect(),
            entries: entries.collect(),
        });
        schedulers[0].receive(&message, at(0));
    }
    send_versions(&mut schedulers, 0);
    let message = schedulers[0].exchange_with(SessionId(2), at(0));
    let length = rmp_serde::to_vec(&message).unwrap().len();
    assert!((10_000..=64_000).contains(&length), "{length} bytes");
    schedulers[1].receive(&message, at(0));
    send_versions(&mut schedulers, 500);
    let next = schedulers[0].exchange_with(SessionId(2), at(500));
    assert!(!next.usage.is_empty());
    for usage in &next.usage {
        assert!(message.usage.iter().all(|one| one.origin != usage.origin));
    }
}

/// Guards against a borrower that keeps idle units, and against a lender that does not use the
/// returned units.
#[test]
fn idle_return() {
    let mut schedulers = start(2);
    let mut running = Vec::new();
    let mut now = 0;
    for _ in 0..32 {
        schedulers[0].submit(job("one", at(0)), at(0)).unwrap();
    }
    while running.len() < 32 && now < 3_000 {
        for action in drain(&mut schedulers[0], at(now)) {
            match action {
                SchedulerAction::Dispatch(order) => running.push(order),
                SchedulerAction::Exchange { .. } => {
                    send(&mut schedulers, 0, 1, now);
                    send(&mut schedulers, 1, 0, now);
                }
                _ => {}
            }
        }
        now += 50;
    }
    assert_eq!(running.len(), 32, "after {now} ms");
    for order in running {
        let outcome = AttemptOutcome::Answered;
        schedulers[0].finish(order.attempt, outcome, at(now));
    }
    for _ in 0..32 {
        schedulers[1].submit(job("one", at(now)), at(now)).unwrap();
    }
    let own = dispatches(&mut schedulers[1], at(now)).len();
    drain(&mut schedulers[0], at(now + 1_000));
    drain(&mut schedulers[0], at(now + 2_000));
    drain(&mut schedulers[0], at(now + 3_000));
    send(&mut schedulers, 0, 1, now + 3_000);
    let returned = dispatches(&mut schedulers[1], at(now + 3_000)).len();
    let state = fleet(4, &[("one", 1, 100)], 2);
    let mut fresh = JobScheduler::new(SessionId(2), SchedulerPolicy::new(), 1);
    fresh.apply(&state, Generation(1), at(0));
    for _ in 0..32 {
        fresh.submit(job("one", at(0)), at(0)).unwrap();
    }
    let owned = dispatches(&mut fresh, at(0)).len();
    assert!(own < owned);
    assert_eq!(own + returned, owned);
}
