//! Budgets, moves and reboots under racing controllers with stale views and lost responses.

mod support;

use std::cell::Cell;
use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use sesamedeal_core::control::{
    ControlInput, ControlPolicy, ControlStep, Controller, HealthReport, HealthVerdict, LogExtent,
};
use sesamedeal_core::fleet::{ChangeRecord, DayTime, FleetChange, FleetState, InstanceState};
use sesamedeal_core::ids::{Generation, InstanceName, PoolName, WaveName};
use sesamedeal_core::membership::{ListedInstance, SessionRecord};
use sesamedeal_core::time::TimePoint;
use support::fuzz::run_machine;
use support::world::{backend, entry_instance, session};
use support::{fleet, name, pool, record};

const POOLS: [(&str, u32, u32, u32); 3] = [("a", 4, 2, 4), ("b", 3, 1, 3), ("spare", 1, 2, 3)];
const INSTANCES: u32 = 10;
const TASK_LEASE_MILLIS: u64 = 10_000;
/// Age of a controller's reads up to which its lease allows it to ask for reboots.
const ACT_MILLIS: u64 = 4_000;

#[derive(Debug, Clone, Copy)]
enum Event {
    /// A controller reads, decides and writes without interruption.
    Cycle(usize),
    Read(usize),
    Decide(usize),
    /// Also repeats a write whose response was lost.
    Write(usize),
    Follow(usize, usize),
    Start(usize, u32),
    End(usize),
    Report(usize),
    /// All entry instances follow the log, end what contradicts it and report.
    Settle,
    Kill(usize, u64),
    Join(u64),
    Pass(u64),
    Lose(u32),
    Return(u32),
    Resize(usize, u32, u32),
    Accuse(u32),
    Maintain,
    Takeover(usize),
}

/// The oracles are the checks in `Machine`, which recount from the log and the running tasks.
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
            8 => (entry(), 0..INSTANCES).prop_map(|(at, number)| Event::Start(at, number)),
            3 => entry().prop_map(Event::End),
            8 => entry().prop_map(Event::Report),
            1 => (entry(), 0_u64..10_000).prop_map(|(at, lag)| Event::Kill(at, lag)),
            1 => (0_u64..9_000).prop_map(Event::Join),
            8 => (100_u64..3_000).prop_map(Event::Pass),
            1 => (0..INSTANCES).prop_map(Event::Lose),
            2 => (0..INSTANCES).prop_map(Event::Return),
            3 => (0_usize..2, 0_u32..6, 1_u32..3)
                .prop_map(|(at, size, budget)| Event::Resize(at, size, budget)),
            1 => (0..INSTANCES).prop_map(Event::Accuse),
            2 => Just(Event::Maintain),
            1 => controller().prop_map(Event::Takeover),
        ]
        .boxed()
    }

    fn apply(state: Self, _: &Event) -> Self {
        state
    }
}

struct Entry {
    row: SessionRecord,
    state: FleetState,
    /// Running tasks: the pool that they run for, and their end if it is set.
    tasks: BTreeMap<InstanceName, (PoolName, Option<u64>)>,
    is_alive: bool,
    listed: (u64, u64),
}

impl Entry {
    /// Whether a task for `pool` on the instance agrees with the generation applied.
    fn agrees(&self, name: &InstanceName, pool: &PoolName) -> bool {
        let instance = self.state.instances.get(name);
        instance.is_some_and(|found| found.state.is_active() && found.pool == *pool)
    }
}

struct View {
    state: FleetState,
    settled: Generation,
    rows: Vec<SessionRecord>,
    list: Vec<ListedInstance>,
    read_at: u64,
}

struct Candidate {
    controller: Controller,
    view: Option<View>,
    step: Option<(Generation, ControlStep)>,
}

struct Machine {
    head: FleetState,
    log: Vec<ChangeRecord>,
    settled: Generation,
    entries: Vec<Entry>,
    backends: BTreeMap<InstanceName, (ListedInstance, bool)>,
    candidates: Vec<Candidate>,
    health: Vec<HealthReport>,
    millis: u64,
}

thread_local! {
    static MOVES: Cell<u32> = const { Cell::new(0) };
    static REBOOTS: Cell<u32> = const { Cell::new(0) };
    static REFUSED: Cell<u32> = const { Cell::new(0) };
}

fn count(cell: &'static std::thread::LocalKey<Cell<u32>>) {
    cell.set(cell.get() + 1);
}

impl Machine {
    fn candidate() -> Candidate {
        Candidate {
            controller: Controller::new(ControlPolicy::new()),
            view: None,
            step: None,
        }
    }

    fn join(&mut self, lag: u64) {
        if self.entries.len() < 8 {
            let mut row = session(self.entries.len() as u64);
            row.renewals = 1;
            self.entries.push(Entry {
                row,
                state: FleetState::default(),
                tasks: BTreeMap::new(),
                is_alive: true,
                listed: (self.millis + lag, u64::MAX),
            });
        }
    }

    fn list(&self) -> Vec<ListedInstance> {
        let now = self.millis;
        let entries = self
            .entries
            .iter()
            .filter(|entry| (entry.listed.0..entry.listed.1).contains(&now))
            .map(|entry| entry_instance(&entry.row));
        let backends = self.backends.values().filter(|(_, is_up)| *is_up);
        entries
            .chain(backends.map(|(entry, _)| entry.clone()))
            .collect()
    }

    fn read(&mut self, at: usize) {
        self.candidates[at].view = Some(View {
            state: self.head.clone(),
            settled: self.settled,
            rows: self.entries.iter().map(|entry| entry.row.clone()).collect(),
            list: self.list(),
            read_at: self.millis,
        });
    }

    fn decide(&mut self, at: usize) {
        let candidate = &mut self.candidates[at];
        let Some(view) = &candidate.view else {
            return;
        };
        let step = candidate.controller.step(ControlInput {
            now: TimePoint::with_millis(self.millis),
            day_time: DayTime::new(1_000, u32::try_from(self.millis / 1_000).unwrap()),
            state: &view.state,
            settled: view.settled,
            sessions: &view.rows,
            list: Some(&view.list),
            health: &self.health,
            log: LogExtent::default(),
        });
        let can_act = self.millis - view.read_at < ACT_MILLIS;
        let generation = view.state.generation;
        let reboots = step.reboots.clone();
        candidate.step = Some((generation, step));
        for order in reboots.into_iter().filter(|_| can_act) {
            self.reboot(&order.instance, order.boot);
        }
    }

    fn reboot(&mut self, name: &InstanceName, boot: u64) {
        if let Some((entry, _)) = self.backends.get_mut(name)
            && entry.boot == boot
        {
            let users = self
                .entries
                .iter()
                .filter(|one| one.tasks.contains_key(name));
            assert_eq!(users.count(), 0, "{name} is rebooted while it runs tasks");
            entry.boot += 1;
            count(&REBOOTS);
        }
    }

    fn write(&mut self, at: usize) {
        let Some((generation, step)) = self.candidates[at].step.clone() else {
            return;
        };
        self.settled = self.settled.max(step.settled);
        if generation != self.head.generation {
            count(&REFUSED);
        } else if !step.changes.is_empty() {
            let record = record(&self.head, step.changes);
            self.append(record).expect("a step on the head is accepted");
        }
    }

    /// Appends a record and recounts the budgets change by change.
    fn append(&mut self, record: ChangeRecord) -> Result<(), String> {
        let mut states: BTreeMap<_, _> = self
            .head
            .instances
            .iter()
            .map(|(name, instance)| {
                (
                    name.clone(),
                    (instance.pool.clone(), instance.state.clone()),
                )
            })
            .collect();
        let mut budgets: BTreeMap<_, _> = self
            .head
            .pools
            .iter()
            .map(|(name, pool)| (name.clone(), pool.max_unavailable as usize))
            .collect();
        self.head
            .apply(&record)
            .map_err(|error| error.to_string())?;
        for change in &record.changes {
            match change {
                FleetChange::PutPool { name, pool } => {
                    budgets.insert(name.clone(), pool.max_unavailable as usize);
                }
                FleetChange::PutInstance { name, instance } => {
                    let entry = (instance.pool.clone(), instance.state.clone());
                    states.insert(name.clone(), entry);
                }
                FleetChange::RemoveInstance { name } => {
                    states.remove(name);
                }
                FleetChange::AssignInstance { name, pool } => {
                    states.insert(name.clone(), (pool.clone(), InstanceState::Active));
                    count(&MOVES);
                }
                FleetChange::SetInstanceState { name, state } => {
                    let own = states.get_mut(name).unwrap();
                    own.1 = state.clone();
                    let own_pool = own.0.clone();
                    let is_planned =
                        !matches!(state, InstanceState::Active | InstanceState::Failed)
                            && *state != InstanceState::Rebooting;
                    let out = states
                        .values()
                        .filter(|(pool, state)| *pool == own_pool && !state.is_active());
                    assert!(
                        !is_planned || out.count() <= budgets[&own_pool],
                        "{change:?}"
                    );
                }
                _ => {}
            }
        }
        self.log.push(record);
        Ok(())
    }

    fn follow(&mut self, at: usize, steps: usize) {
        let Some(entry) = self.entries.get_mut(at).filter(|entry| entry.is_alive) else {
            return;
        };
        if entry.state.generation == Generation::ZERO {
            entry.state = self.head.clone();
        }
        let applied = entry.state.generation;
        let missing = self.log.iter().filter(|record| record.generation > applied);
        for record in missing.take(steps) {
            entry.state.apply(record).unwrap();
        }
        entry.row.applied = entry.state.generation;
    }

    fn start(&mut self, at: usize, number: u32) {
        let Some(entry) = self.entries.get_mut(at).filter(|entry| entry.is_alive) else {
            return;
        };
        let name = name(number);
        if let Some(instance) = entry.state.instances.get(&name)
            && instance.state.is_active()
        {
            let task = (instance.pool.clone(), None);
            entry.tasks.entry(name.clone()).or_insert(task);
        }
        let mut pools: Vec<_> = self
            .entries
            .iter()
            .filter_map(|entry| entry.tasks.get(&name))
            .map(|(pool, _)| pool)
            .collect();
        pools.dedup();
        assert!(pools.len() <= 1, "{name} runs tasks of {pools:?}");
    }

    fn report(&mut self, at: usize) {
        let Some(entry) = self.entries.get_mut(at).filter(|entry| entry.is_alive) else {
            return;
        };
        entry.row.renewals += 1;
        if entry
            .tasks
            .iter()
            .all(|(name, task)| entry.agrees(name, &task.0))
        {
            entry.row.quiesced = entry.state.generation;
        }
    }

    fn end_contradicting(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        if entry.is_alive {
            let mut tasks = std::mem::take(&mut entry.tasks);
            tasks.retain(|name, task| entry.agrees(name, &task.0));
            entry.tasks = tasks;
        }
    }

    fn pass(&mut self, millis: u64) {
        self.millis += millis;
        let now = self.millis;
        for entry in &mut self.entries {
            entry
                .tasks
                .retain(|_, (_, end)| end.is_none_or(|end| end > now));
        }
    }

    fn operate(&mut self, change: FleetChange) {
        let record = record(&self.head, vec![change]);
        // An operator's change may be refused; then the state is as before.
        let _refused = self.append(record);
    }
}

impl StateMachineTest for Machine {
    type SystemUnderTest = Self;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> Self {
        let head = fleet(&POOLS);
        let backends = head
            .instances
            .iter()
            .map(|(name, instance)| (name.clone(), (backend(name, instance), true)))
            .collect();
        let mut machine = Self {
            head,
            log: Vec::new(),
            settled: Generation::ZERO,
            entries: Vec::new(),
            backends,
            candidates: vec![Self::candidate(), Self::candidate()],
            health: Vec::new(),
            millis: 0,
        };
        for _ in 0..3 {
            machine.join(0);
        }
        machine
    }

    fn apply(mut state: Self, _: &Oracle, event: Event) -> Self {
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
            Event::Start(at, number) => state.start(at, number),
            Event::End(at) => {
                if let Some(entry) = state.entries.get_mut(at).filter(|entry| entry.is_alive) {
                    entry.tasks.pop_first();
                }
            }
            Event::Report(at) => state.report(at),
            Event::Settle => {
                for at in 0..state.entries.len() {
                    state.follow(at, usize::MAX);
                    state.end_contradicting(at);
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
            Event::Resize(at, size, budget) => state.operate(FleetChange::PutPool {
                name: PoolName::new(POOLS[at].0),
                pool: pool(size, budget),
            }),
            Event::Accuse(number) => state.health.push(HealthReport {
                instance: name(number),
                verdict: HealthVerdict::Quarantine,
                applied: state.head.generation,
            }),
            Event::Maintain => state.operate(FleetChange::StartWave {
                wave: WaveName::new(format!("w{}", state.head.waves.len())),
                started: DayTime::new(1_000, 0),
                members: state.head.instances.keys().cloned().collect(),
            }),
            Event::Takeover(at) => state.candidates[at] = Self::candidate(),
        }
        state
    }

    fn check_invariants(state: &Self, _: &Oracle) {
        assert!(state.settled <= state.head.generation);
    }
}

/// Guards against overspent budgets, an instance that works for two pools at once and a reboot
/// under running tasks.
#[test]
fn racing_controllers() {
    run_machine::<Machine>(256, 160);
    let seen = [MOVES.get(), REBOOTS.get(), REFUSED.get()];
    println!("moves, reboots and refused writes: {seen:?}");
    assert!(seen.iter().all(|&count| count > 50), "{seen:?}");
}
