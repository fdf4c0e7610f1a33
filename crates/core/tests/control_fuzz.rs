//! Budgets, moves and reboots with concurrent controllers, stale views and lost responses.

mod support;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use sesamedeal_core::control::{HealthReport, HealthVerdict};
use sesamedeal_core::fleet::{DayTime, FleetChange};
use sesamedeal_core::ids::{PoolName, WaveName};
use support::fuzz::run_machine;
use support::race::{INSTANCES, MOVES, Machine, POOLS, REBOOTS, REFUSED, TASK_LEASE_MILLIS};
use support::{name, pool};

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A controller reads, decides and writes without interruption.
    Cycle(usize),
    Read(usize),
    Decide(usize),
    /// Also repeats a write whose response was lost.
    Write(usize),
    Follow(usize, usize),
    /// An entry instance starts a task on every instance that it is allowed to use.
    Start(usize),
    End(usize),
    Report(usize),
    /// All entry instances process the log, end the tasks that contradict it and report.
    Settle,
    Kill(usize, u64),
    Join(u64),
    Pass(u64),
    Lose(u32),
    Return(u32),
    Resize(usize, u32, u32),
    RequestQuarantine(u32),
    Maintain,
    Takeover(usize),
}

/// Empty reference state. The checks in `Machine` recount from the log and the running tasks.
#[derive(Debug, Clone)]
struct Oracle;

impl ReferenceStateMachine for Oracle {
    type State = Self;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Event> {
        let controller = || 0_usize..2;
        let entry = || 0_usize..5;
        prop_oneof![
            24 => controller().prop_map(Event::Cycle),
            16 => Just(Event::Settle),
            2 => controller().prop_map(Event::Read),
            2 => controller().prop_map(Event::Decide),
            3 => controller().prop_map(Event::Write),
            8 => (entry(), 1_usize..6).prop_map(|(at, count)| Event::Follow(at, count)),
            8 => entry().prop_map(Event::Start),
            3 => entry().prop_map(Event::End),
            8 => entry().prop_map(Event::Report),
            1 => (entry(), 0_u64..10_000).prop_map(|(at, lag)| Event::Kill(at, lag)),
            1 => (0_u64..9_000).prop_map(Event::Join),
            8 => (100_u64..3_000).prop_map(Event::Pass),
            1 => (0..INSTANCES).prop_map(Event::Lose),
            2 => (0..INSTANCES).prop_map(Event::Return),
            3 => (0_usize..2, 0_u32..6, 1_u32..3)
                .prop_map(|(at, size, budget)| Event::Resize(at, size, budget)),
            1 => (0..INSTANCES).prop_map(Event::RequestQuarantine),
            2 => Just(Event::Maintain),
            1 => controller().prop_map(Event::Takeover),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

struct RaceTest;

impl StateMachineTest for RaceTest {
    type SystemUnderTest = Machine;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Machine {
        Machine::new()
    }

    fn apply(mut state: Machine, _: &Oracle, event: Event) -> Machine {
        match event {
            Event::Cycle(at) => {
                state.read(at);
                state.decide(at);
                state.write(at);
                state.health.clear();
            }
            Event::Read(at) => state.read(at),
            Event::Decide(at) => state.decide(at),
            Event::Write(at) => state.write(at),
            Event::Follow(at, steps) => state.follow(at, steps),
            Event::Start(at) => state.start(at),
            Event::End(at) => {
                if let Some(entry) = state.entries.get_mut(at).filter(|entry| entry.is_alive) {
                    entry.tasks.pop_first();
                }
            }
            Event::Report(at) => state.report(at),
            Event::Settle => {
                for at in 0..state.entries.len() {
                    state.follow(at, usize::MAX);
                    state.end_forbidden_tasks(at);
                    state.report(at);
                }
            }
            Event::Kill(at, lag) => {
                let now = state.millis;
                if let Some(entry) = state.entries.get_mut(at).filter(|entry| entry.is_alive) {
                    entry.is_alive = false;
                    entry.listed.1 = now + lag;
                    for task in entry.tasks.values_mut() {
                        task.1 = Some(now + TASK_LEASE_MILLIS);
                    }
                }
            }
            Event::Join(lag) => state.join(lag),
            Event::Pass(millis) => state.pass(millis),
            Event::Lose(number) => state.backends.get_mut(&name(number)).unwrap().1 = false,
            Event::Return(number) => state.backends.get_mut(&name(number)).unwrap().1 = true,
            Event::Resize(at, size, budget) => state.apply_operator_change(FleetChange::PutPool {
                name: PoolName::new(POOLS[at].0),
                pool: pool(size, budget),
            }),
            Event::RequestQuarantine(number) => state.health.push(HealthReport {
                instance: name(number),
                verdict: HealthVerdict::Quarantine,
                applied: state.head.generation,
            }),
            Event::Maintain => state.apply_operator_change(FleetChange::StartWave {
                wave: WaveName::new(format!("w{}", state.head.waves.len())),
                started: DayTime::new(1_000, 0),
                members: state.head.instances.keys().cloned().collect(),
            }),
            Event::Takeover(at) => state.candidates[at] = Machine::candidate(),
        }
        state
    }

    fn check_invariants(state: &Machine, _: &Oracle) {
        assert!(state.settled <= state.head.generation);
    }
}

/// Guards against exceeded availability budgets, an instance that runs tasks of two pools at once,
/// and a reboot of an instance with running tasks.
#[test]
fn racing_controllers() {
    run_machine::<RaceTest>(256, 160);
    let seen = [MOVES.get(), REBOOTS.get(), REFUSED.get()];
    println!("moves, reboots and refused writes: {seen:?}");
    assert!(seen.iter().all(|&count| count > 50), "{seen:?}");
}
