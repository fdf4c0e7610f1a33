//! A simulation of workers and a store in virtual time, for tests of stored jobs.
//!
//! [`JobWorld`] checks invariants whenever a worker starts a task and collects the violations.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod builders;
mod capacities;
mod crashes;
mod late_calls;
pub mod load_planner;
pub mod load_run;
mod order_delivery;
mod owner_changes;
mod run_times;
mod sim_worker;
mod stored_rows;
mod world_faults;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::jobs::{
    DispatchPolicy, EndKind, FleetRules, HoldReport, JobDispatcher, JobId, JobOrder, JobPhase,
    JobRecord, ResourceAmount, RunReport, StepName, TaskName, UnreachableWorker, WorkerOrder,
};

pub use builders::{amount, at, job, rules, step, worker_report};
pub use owner_changes::partition_of;
pub use run_times::{RunTimes, first_task, near_job};
pub use sim_worker::{SimRun, SimWorker};
pub use stored_rows::read_back;
pub use world_faults::WorldFaults;

/// Number of failed runs of a task after which its job fails.
pub const ATTEMPTS: u32 = 3;

/// Lease that the simulated owner requests from workers.
pub const LEASE: Duration = Duration::from_millis(sim_worker::LEASE);

pub struct JobWorld {
    pub now: u64,
    pub epoch: u64,
    pub dispatcher: JobDispatcher,
    pub workers: Vec<SimWorker>,
    pub stored: BTreeMap<JobId, (JobOrder, JobRecord)>,
    pub violations: Vec<String>,
    pub starts: usize,
    faults: WorldFaults,
    rules: Arc<FleetRules>,
    random: Pcg64Mcg,
    acknowledged_done: HashSet<TaskName>,
    done_tasks: HashSet<TaskName>,
    acknowledged_failures: HashMap<TaskName, u32>,
    pub crashes: crashes::CrashLog,
    pub run_times: RunTimes,
    /// Run times of the tasks of steps, in milliseconds. Other tasks run for a random time.
    pub lengths: HashMap<StepName, u64>,
    /// How far the Unix clock of the owner is ahead, in milliseconds.
    pub clock_ahead: u64,
    /// Whether the store takes no writes and shows no changes.
    pub is_store_silent: bool,
    /// Begin and end of the last outage of the store.
    outage: Option<(u64, u64)>,
    /// When the list of workers was last read.
    list_read: u64,
    /// Unreachable workers in the owner's latest publication.
    published: Vec<UnreachableWorker>,
    /// Partitions that the owner has not read.
    pub unread: BTreeSet<u16>,
}

impl JobWorld {
    pub fn new(workers: usize, seed: u64) -> Self {
        Self::with_rules(workers, seed, rules(ResourceAmount::default()))
    }

    pub fn with_rules(workers: usize, seed: u64, rules: Arc<FleetRules>) -> Self {
        let mut world = Self {
            now: 10_000,
            epoch: 1,
            dispatcher: dispatcher(&rules, 1, 10_000),
            workers: (0..workers).map(SimWorker::new).collect(),
            stored: BTreeMap::new(),
            violations: Vec::new(),
            starts: 0,
            faults: WorldFaults::default(),
            rules,
            random: Pcg64Mcg::seed_from_u64(seed),
            acknowledged_done: HashSet::new(),
            done_tasks: HashSet::new(),
            acknowledged_failures: HashMap::new(),
            crashes: crashes::CrashLog::default(),
            run_times: RunTimes::default(),
            lengths: HashMap::new(),
            clock_ahead: 0,
            is_store_silent: false,
            outage: None,
            list_read: 10_000,
            published: Vec::new(),
            unread: BTreeSet::new(),
        };
        world.list_workers();
        world
    }

    pub fn with_faults(mut self, faults: WorldFaults) -> Self {
        self.faults = faults;
        self
    }

    /// Replaces the dispatcher by a new one with other rules and another policy.
    pub fn reset_dispatcher(&mut self, rules: Arc<FleetRules>, policy: DispatchPolicy) {
        self.dispatcher = JobDispatcher::new(policy, Arc::clone(&rules), self.epoch, at(self.now));
        self.rules = rules;
        self.list_workers();
    }

    pub fn submit(&mut self, id: u64, order: JobOrder) -> JobId {
        let id = JobId(id);
        self.stored.insert(id, (order.clone(), JobRecord::new()));
        if !self.unread.contains(&partition_of(id)) {
            self.dispatcher
                .add_job(id, order, JobRecord::new(), false, at(self.now));
        }
        id
    }

    pub fn phase(&self, id: JobId) -> JobPhase {
        self.stored[&id].1.phase
    }

    /// Number of runs on all workers.
    pub fn running(&self) -> usize {
        let workers = self.workers.iter();
        workers.map(|worker| worker.running.len()).sum()
    }

    /// Returns the index of the first worker that runs a task.
    pub fn busy_worker(&self) -> usize {
        let mut workers = self.workers.iter();
        let busy = workers.position(|worker| !worker.tasks().is_empty());
        busy.expect("a worker runs something")
    }

    fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random::<f64>() < share
    }

    pub fn list_workers(&mut self) {
        for worker in self.workers.iter_mut().filter(|worker| worker.is_listed) {
            let (key, _) = self.dispatcher.set_worker(worker.entry(), at(self.now));
            worker.key = Some(key);
        }
        self.list_lost();
    }

    /// Advances time by `rounds` rounds of 50 ms.
    pub fn run(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.round();
        }
    }

    pub fn round(&mut self) {
        self.advance_round(true);
    }

    /// Runs a round in which nothing is written to the store.
    pub fn round_without_write(&mut self) {
        self.advance_round(false);
    }

    fn advance_round(&mut self, is_writing: bool) {
        self.now += 50;
        let now = self.now;
        for worker in &mut self.workers {
            worker.advance(now);
        }
        self.record_done_tasks();
        self.restart_crashed();
        self.list_capacities();
        self.inject_faults();
        for index in 0..self.workers.len() {
            self.hold(index);
        }
        self.hold_lost();
        if is_writing && !self.is_store_silent {
            self.write();
        }
        self.plan();
    }

    /// Plans and delivers the orders.
    pub fn plan(&mut self) {
        let unix_ms = self.now + self.clock_ahead;
        let orders = self.dispatcher.plan(at(self.now), unix_ms);
        self.crashes
            .abandoned
            .extend(self.dispatcher.take_abandoned_tasks());
        for order in orders {
            self.deliver(order);
        }
    }

    fn hold(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        let Some(key) = worker.key else {
            return;
        };
        if worker.is_hanging {
            return;
        }
        if !worker.is_reachable {
            self.dispatcher.note_unresponsive(key);
            return;
        }
        let fence = self.dispatcher.fence(key);
        if fence < worker.fence {
            return;
        }
        worker.fence = fence;
        // The first answer by a link shows the worker's clock.
        let is_clock_known = worker.answered_fence == Some(fence);
        if is_clock_known && !self.dispatcher.is_published(key) {
            self.dispatcher
                .note_extension(key, LEASE, Duration::ZERO, at(now));
            let lease_end = worker.lease_end(now);
            for run in worker.running.values_mut() {
                run.lease_end = run.lease_end.max(lease_end);
            }
        }
        let stored = self.dispatcher.stored_end(key);
        self.acknowledge(index, stored);
        let worker = &mut self.workers[index];
        let running = worker.running.iter().map(|((task, run), state)| RunReport {
            task: *task,
            run: *run,
            saved: CompactString::default(),
            percent: if state.ends == u64::MAX {
                100.0
            } else {
                #[expect(clippy::cast_precision_loss, reason = "times of tests are small")]
                let share = (now - state.started) as f64 / (state.ends - state.started) as f64;
                (share * 100.0).min(99.0)
            },
            gauge: None,
        });
        let report = HoldReport {
            sent: at(now),
            clock_ms: now,
            boot: worker.report.boot,
            running: running.collect(),
            ended: worker.listed_ends(),
        };
        worker.answered_fence = Some(fence);
        worker.answered_boot = Some(report.boot);
        self.dispatcher.note_report(key, &report, at(now));
    }

    fn write(&mut self) {
        let batch = self.dispatcher.take_records(72, self.now);
        if self.chance(self.faults.refused_writes) {
            // Planning continues while the write is in flight.
            let orders = self.dispatcher.plan(at(self.now), self.now);
            for order in orders {
                self.deliver(order);
            }
            self.dispatcher.requeue_records(&batch);
            return;
        }
        for (id, record) in &batch.records {
            match (self.stored.get_mut(id), read_back(record)) {
                (Some(entry), Ok(record)) => entry.1 = record,
                (_, Err(problem)) => self.violations.push(format!("{id}: {problem}")),
                (None, Ok(_)) => {}
            }
        }
        self.dispatcher.note_stored(&batch, at(self.now));
        if self.now.is_multiple_of(500) {
            self.published = self.dispatcher.unreachable_workers(at(self.now));
            self.dispatcher.note_published(&self.published);
        }
    }
}

fn dispatcher(rules: &Arc<FleetRules>, epoch: u64, now: u64) -> JobDispatcher {
    JobDispatcher::new(DispatchPolicy::default(), Arc::clone(rules), epoch, at(now))
}

/// Plans at `now` and returns the number of started tasks.
pub fn starts(dispatcher: &mut JobDispatcher, now: u64) -> usize {
    let orders = dispatcher.plan(at(now), now);
    let starts = orders.iter();
    starts
        .filter(|order| matches!(order, WorkerOrder::Start(..)))
        .count()
}
