//! Units of an entry instance that shuts down.

mod scheduling;
mod support;

use std::time::Duration;

use proptest::prelude::*;
use scheduling::fuzz_step::{Step, apply_step, step};
use scheduling::world::{UNLISTED_TIMEOUT, World};
use scheduling::{at, dispatches, drain, fleet, job, scheduler_of};
use sesamedeal_core::ids::SessionId;
use sesamedeal_core::scheduler::{AttemptOutcome, JobScheduler, SchedulerAction};
use sesamedeal_core::time::TimePoint;
use support::fuzz::fuzz_config;

/// Slots of a worker.
const SLOTS: usize = 8;

/// Schedulers of the two sessions that share three workers.
fn two_sessions() -> (JobScheduler, JobScheduler) {
    let state = fleet(3, &[("clock", 1, 1_000)], 2);
    (scheduler_of(&state, 1), scheduler_of(&state, 2))
}

fn submit_jobs(scheduler: &mut JobScheduler, count: usize, now: TimePoint) {
    for _ in 0..count {
        scheduler.submit(job("clock", now), now).unwrap();
    }
}

/// Guards against jobs that find no free unit for the seconds in which the view still lists a
/// session that has left: its units were owned by nobody else.
#[test]
fn units_handed_over() {
    let (mut leaving, mut staying) = two_sessions();
    submit_jobs(&mut staying, 3 * SLOTS, at(0));
    let before = dispatches(&mut staying, at(0)).len();
    assert!(before < 3 * SLOTS);
    leaving.shut_down(at(10));
    leaving.hand_over_units();
    assert!(leaving.has_unconfirmed_loans());
    let actions = drain(&mut leaving, at(10));
    let exchange = |action: &SchedulerAction| matches!(action, SchedulerAction::Exchange { peer } if *peer == SessionId(2));
    assert!(actions.iter().any(exchange), "{actions:?}");
    let message = leaving.exchange_with(SessionId(2), at(10));
    staying.receive(&message, at(11));
    assert_eq!(dispatches(&mut staying, at(11)).len(), 3 * SLOTS - before);
    let answer = staying.exchange_with(SessionId(1), at(11));
    leaving.receive(&answer, at(12));
    assert!(!leaving.has_unconfirmed_loans());
}

/// Guards against borrowed units that are lost with their borrower.
#[test]
fn loans_returned() {
    let (mut leaving, mut staying) = two_sessions();
    submit_jobs(&mut leaving, 3 * SLOTS, at(0));
    let mut orders = dispatches(&mut leaving, at(0));
    for now in (200..2_000).step_by(200) {
        let message = leaving.exchange_with(SessionId(2), at(now));
        staying.receive(&message, at(now));
        let answer = staying.exchange_with(SessionId(1), at(now));
        leaving.receive(&answer, at(now));
        orders.extend(dispatches(&mut leaving, at(now)));
    }
    assert_eq!(orders.len(), 3 * SLOTS);
    leaving.shut_down(at(2_000));
    for order in orders {
        leaving.finish(order.attempt, AttemptOutcome::Answered, at(2_000));
    }
    leaving.hand_over_units();
    let message = leaving.exchange_with(SessionId(2), at(2_000));
    staying.receive(&message, at(2_000));
    submit_jobs(&mut staying, 3 * SLOTS, at(2_000));
    assert_eq!(dispatches(&mut staying, at(2_000)).len(), 3 * SLOTS);
}

/// Shuts an entry instance down after its tasks have ended. Its exchanges may get lost.
fn leave(world: &mut World, node: usize, arrives: bool) {
    let node = node % world.nodes.len();
    let others = world.nodes.iter().filter(|other| other.alive).count();
    if !world.runs(node) || others < 2 {
        return;
    }
    world.nodes[node].scheduler.shut_down(world.now);
    world.act(node);
    while let Some(place) = world.tasks.iter().position(|task| task.node == node) {
        world.finish(place, AttemptOutcome::Answered);
        world.tasks.remove(place);
    }
    world.requested_exchanges.clear();
    world.nodes[node].scheduler.hand_over_units();
    world.act(node);
    for (from, peer) in std::mem::take(&mut world.requested_exchanges) {
        let to = world.nodes.iter().position(|other| other.session == peer);
        world.exchange(from, to.unwrap(), arrives, true);
    }
    let now = world.now.since_origin();
    world.kill(node);
    // A session that has left delays no generation.
    let long_ago = TimePoint::new(now.saturating_sub(UNLISTED_TIMEOUT + Duration::from_secs(1)));
    world.nodes[node].absent_since = Some(long_ago);
}

proptest! {
    #![proptest_config(fuzz_config(64))]

    /// Guards against handed over units that are counted twice or lost.
    #[test]
    fn handed_over_once(
        before in prop::collection::vec(step(), 1..120),
        nodes in prop::collection::vec((0..6_usize, any::<bool>()), 1..3),
        after in prop::collection::vec(step(), 1..120),
    ) {
        let teams = [("one", 3, 10), ("two", 2, 14), ("three", 1, 5)];
        let mut world = World::new(fleet(3, &teams, 3));
        let apply_steps = |world: &mut World, steps: Vec<Step>| {
            for step in steps {
                apply_step(world, step);
            }
        };
        apply_steps(&mut world, before);
        for (node, arrives) in nodes {
            leave(&mut world, node, arrives);
        }
        apply_steps(&mut world, after);
        world.recover();
    }
}
