//! Jobs whose queue or team a configuration has removed after they were accepted.

mod jobs;

use std::sync::Arc;

use jobs::{JobWorld, WorldFaults, amount, job, rules, step};
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{FleetRules, JobId, JobOrder, JobPhase};

/// A job of two steps, the second of which waits for the first.
fn two_steps() -> JobOrder {
    let mut second = step(2, 1_000);
    second.after = vec![0];
    job(vec![step(2, 1_000), second])
}

/// The same, with the rules at its acceptance.
fn accepted(rules: &FleetRules) -> JobOrder {
    let order = two_steps();
    JobOrder {
        rules: rules.order_rules(&order.queue, order.team.as_ref()),
        ..order
    }
}

/// Guards against an accepted job that never goes on once a configuration has removed its queue and its
/// team, also over several configurations.
#[test]
fn same_owner() {
    let mut world = JobWorld::new(2, 1);
    let id = world.submit(1, two_steps());
    world.run(2);
    let empty = world.remove_rules();
    let empty = Arc::new(FleetRules {
        queues: Default::default(),
        teams: Default::default(),
        ..FleetRules::clone(&empty)
    });
    world.set_rules(empty);
    world.run(80);
    assert_eq!(world.phase(id), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against the same at an owner that has never had the rules.
#[test]
fn next_owner() {
    let mut world = JobWorld::new(2, 1);
    let id = world.submit(1, accepted(&rules(amount(0, 0))));
    world.run(2);
    world.remove_rules();
    world.take_over();
    world.run(160);
    assert_eq!(world.phase(id), JobPhase::Finished);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against attempts without a limit on a queue that is removed.
#[test]
fn attempts_limit() {
    let faults = WorldFaults {
        failures: 1.0,
        ..WorldFaults::default()
    };
    let mut world = JobWorld::new(2, 1).with_faults(faults);
    let id = world.submit(1, accepted(&rules(amount(0, 0))));
    world.run(2);
    world.remove_rules();
    world.take_over();
    world.run(300);
    assert_eq!(world.phase(id), JobPhase::Failed);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a team that exceeds its limit once it is removed.
#[test]
fn team_limit() {
    let rules = rules(amount(2_000, 0));
    let mut world = JobWorld::with_rules(2, 1, Arc::clone(&rules));
    let order = JobOrder {
        rules: accepted(&rules).rules,
        ..job(vec![step(12, 1_000)])
    };
    let id = world.submit(1, order);
    world.remove_rules();
    let mut most = 0;
    for round in 0..400 {
        world.run(1);
        most = most.max(world.running());
        if round == 20 {
            world.take_over();
        }
    }
    assert_eq!(world.phase(id), JobPhase::Finished);
    assert_eq!(most, 2);
}

/// Guards against a rule of the acceptance that stays in force beside a later one, and against a queue
/// that is kept after its jobs have ended.
#[test]
fn later_rules() {
    let mut world = JobWorld::new(2, 1);
    let mut order = accepted(&rules(amount(0, 0)));
    order.rules.as_mut().unwrap().queue.pool = PoolName::new("elsewhere");
    let id = world.submit(1, order);
    world.run(80);
    assert_eq!(world.phase(id), JobPhase::Finished);
    world.remove_rules();
    let late = world.submit(2, two_steps());
    world.run(80);
    assert_eq!(world.phase(late), JobPhase::Queued, "has no queue");
    assert!(world.dispatcher.phase(JobId(1)).is_none());
}

/// Guards against tasks that start before the owner knows a configuration, under rules that it may have
/// replaced.
#[test]
fn no_configuration() {
    let mut world = JobWorld::new(2, 1);
    world.set_rules(Arc::default());
    let id = world.submit(1, accepted(&rules(amount(0, 0))));
    world.run(40);
    assert_eq!(world.starts, 0);
    world.set_rules(Arc::new(FleetRules {
        version: 2,
        ..FleetRules::default()
    }));
    world.run(80);
    assert_eq!(world.phase(id), JobPhase::Finished);
}
