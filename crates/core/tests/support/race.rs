//! Model of concurrent controllers and entry instances: change log, session rows, instance list and
//! running tasks.

use std::cell::Cell;
use std::collections::BTreeMap;

use sesamedeal_core::control::{
    ControlInput, ControlPolicy, ControlStep, Controller, HealthReport, LogExtent,
};
use sesamedeal_core::fleet::{ChangeRecord, DayTime, FleetChange, FleetState};
use sesamedeal_core::ids::{Generation, InstanceName, PoolName};
use sesamedeal_core::membership::{ListedInstance, SessionRecord};
use sesamedeal_core::time::TimePoint;

use super::budget::check_budgets;
use super::world::{backend, entry_instance, session};
use super::{fleet, record};

pub const POOLS: [(&str, u32, u32, u32); 3] = [("a", 4, 2, 4), ("b", 3, 1, 3), ("spare", 1, 2, 3)];
pub const INSTANCES: u32 = 10;
pub const TASK_LEASE_MILLIS: u64 = 10_000;
/// Maximum age of a controller's data, in milliseconds, at which its lease allows reboots.
const MAX_REBOOT_AGE_MILLIS: u64 = 4_000;

pub struct Entry {
    pub row: SessionRecord,
    pub state: FleetState,
    /// Running task of each instance: its pool, and its end in milliseconds if it is set.
    pub tasks: BTreeMap<InstanceName, (PoolName, Option<u64>)>,
    pub is_alive: bool,
    pub listed: (u64, u64),
}

impl Entry {
    /// Whether the applied generation allows a task for `pool` on the instance.
    pub fn allows_task(&self, name: &InstanceName, pool: &PoolName) -> bool {
        let instance = self.state.instances.get(name);
        instance.is_some_and(|found| found.state.is_active() && found.pool == *pool)
    }
}

pub struct View {
    pub state: FleetState,
    pub settled: Generation,
    pub rows: Vec<SessionRecord>,
    pub list: Vec<ListedInstance>,
    pub read_at: u64,
}

pub struct Candidate {
    pub controller: Controller,
    pub view: Option<View>,
    pub step: Option<(Generation, ControlStep)>,
}

pub struct Machine {
    pub head: FleetState,
    pub log: Vec<ChangeRecord>,
    pub settled: Generation,
    pub entries: Vec<Entry>,
    pub backends: BTreeMap<InstanceName, (ListedInstance, bool)>,
    pub candidates: Vec<Candidate>,
    pub health: Vec<HealthReport>,
    pub millis: u64,
}

thread_local! {
    pub static MOVES: Cell<u32> = const { Cell::new(0) };
    pub static REBOOTS: Cell<u32> = const { Cell::new(0) };
    pub static REFUSED: Cell<u32> = const { Cell::new(0) };
}

pub fn count(cell: &'static std::thread::LocalKey<Cell<u32>>) {
    cell.set(cell.get() + 1);
}

impl Machine {
    /// Fleet with three entry instances and two controllers.
    pub fn new() -> Self {
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

    pub fn candidate() -> Candidate {
        Candidate {
            controller: Controller::new(ControlPolicy::new()),
            view: None,
            step: None,
        }
    }

    pub fn join(&mut self, lag: u64) {
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

    pub fn list(&self) -> Vec<ListedInstance> {
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

    pub fn read(&mut self, at: usize) {
        self.candidates[at].view = Some(View {
            state: self.head.clone(),
            settled: self.settled,
            rows: self.entries.iter().map(|entry| entry.row.clone()).collect(),
            list: self.list(),
            read_at: self.millis,
        });
    }

    pub fn decide(&mut self, at: usize) {
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
            is_scanned: true,
            list: Some(&view.list),
            health: &self.health,
            log: LogExtent::default(),
        });
        let can_act = self.millis - view.read_at < MAX_REBOOT_AGE_MILLIS;
        let generation = view.state.generation;
        let reboots = step.reboots.clone();
        candidate.step = Some((generation, step));
        for order in reboots.into_iter().filter(|_| can_act) {
            self.reboot(&order.instance, order.boot);
        }
    }

    pub fn reboot(&mut self, name: &InstanceName, boot: u64) {
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

    pub fn write(&mut self, at: usize) {
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

    /// Appends a record and checks the availability budgets after each of its changes.
    pub fn append(&mut self, record: ChangeRecord) -> Result<(), String> {
        let before = self.head.clone();
        self.head
            .apply(&record)
            .map_err(|error| error.to_string())?;
        check_budgets(&before, &record.changes);
        let is_move = |change: &&FleetChange| matches!(change, FleetChange::AssignInstance { .. });
        record
            .changes
            .iter()
            .filter(is_move)
            .for_each(|_| count(&MOVES));
        self.log.push(record);
        Ok(())
    }

    pub fn follow(&mut self, at: usize, steps: usize) {
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

    pub fn start(&mut self, at: usize) {
        let Some(entry) = self.entries.get_mut(at).filter(|entry| entry.is_alive) else {
            return;
        };
        let instances = entry.state.instances.iter();
        for (name, instance) in instances.filter(|(_, instance)| instance.state.is_active()) {
            let task = (instance.pool.clone(), None);
            entry.tasks.entry(name.clone()).or_insert(task);
        }
        let mut users = BTreeMap::new();
        for (name, (pool, _)) in self.entries.iter().flat_map(|entry| &entry.tasks) {
            let first = users.entry(name).or_insert(pool);
            assert_eq!(*first, pool, "{name} runs tasks of two pools");
        }
    }

    pub fn report(&mut self, at: usize) {
        let Some(entry) = self.entries.get_mut(at).filter(|entry| entry.is_alive) else {
            return;
        };
        entry.row.renewals += 1;
        if entry
            .tasks
            .iter()
            .all(|(name, task)| entry.allows_task(name, &task.0))
        {
            entry.row.quiesced = entry.state.generation;
        }
    }

    pub fn end_forbidden_tasks(&mut self, at: usize) {
        let entry = &mut self.entries[at];
        if entry.is_alive {
            let mut tasks = std::mem::take(&mut entry.tasks);
            tasks.retain(|name, task| entry.allows_task(name, &task.0));
            entry.tasks = tasks;
        }
    }

    pub fn pass(&mut self, millis: u64) {
        self.millis += millis;
        let now = self.millis;
        for entry in &mut self.entries {
            entry
                .tasks
                .retain(|_, (_, end)| end.is_none_or(|end| end > now));
        }
    }

    pub fn apply_operator_change(&mut self, change: FleetChange) {
        let record = record(&self.head, vec![change]);
        // An operator's change may be refused; the state is unchanged in that case.
        let _refused = self.append(record);
    }
}
