use std::collections::{BTreeMap, HashMap};

use compact_str::CompactString;
use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::{EndKind, ResourceAmount, RunEnd, TaskName, WorkerKey, WorkerReport};

use super::{amount, worker_report};

/// Lease that the simulated owner requests from workers, in milliseconds.
pub const LEASE: u64 = 4_800;

/// Longest lease that a worker grants, in milliseconds.
pub const LONGEST_LEASE: u64 = 6_000;

/// Maximum number of ends in a list.
const LISTED_ENDS: usize = 500;

/// A run on a simulated worker. Times are in milliseconds.
#[derive(Debug, Clone)]
pub struct SimRun {
    pub ends: u64,
    pub lease_end: u64,
    pub fails: bool,
    /// Whether the run waits in vain for the other members of its gang.
    pub is_alone: bool,
    pub started: u64,
}

/// A simulated worker, which does not check its capacity.
#[derive(Debug)]
pub struct SimWorker {
    pub report: WorkerReport,
    pub key: Option<WorkerKey>,
    pub is_reachable: bool,
    /// Whether the platform's list includes the worker.
    pub is_listed: bool,
    /// Whether the worker turns starts away.
    pub is_refusing: bool,
    /// Whether calls to the worker stay unanswered without failing.
    pub is_hanging: bool,
    pub fence: u64,
    /// Fence number of the last hold call that the worker has answered.
    pub answered_fence: Option<u64>,
    /// Boot that has answered it. The owner knows the clock of this boot.
    pub answered_boot: Option<u64>,
    pub running: BTreeMap<(TaskName, u64), SimRun>,
    pub ended: Vec<RunEnd>,
    pub next_end: u64,
    pub highest_runs: HashMap<TaskName, u64>,
    /// Capacities that the worker had, with the times from which on, oldest first.
    pub capacities: Vec<(u64, ResourceAmount)>,
    /// Entry that the list has in place of the worker's newest one.
    pub outdated_entry: Option<WorkerReport>,
    /// When the worker writes its capacity to the list.
    pub row_due: Option<u64>,
    /// When the worker crashed, until it is back.
    pub crashed: Option<u64>,
    /// Number of the instance of the worker, and of crashes so far.
    pub instance: usize,
    pub crashes: u64,
}

impl SimWorker {
    pub fn new(number: usize) -> Self {
        Self {
            report: worker_report(number, 1),
            key: None,
            is_reachable: true,
            is_listed: true,
            is_refusing: false,
            is_hanging: false,
            fence: 0,
            answered_fence: None,
            answered_boot: None,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            highest_runs: HashMap::new(),
            capacities: vec![(0, amount(8_000, 16_000))],
            outdated_entry: None,
            row_due: None,
            crashed: None,
            instance: number,
            crashes: 0,
        }
    }

    /// Ends that the worker lists.
    pub fn listed_ends(&self) -> Vec<RunEnd> {
        self.ended.iter().take(LISTED_ENDS).cloned().collect()
    }

    /// Ends the worker with all its runs.
    pub fn crash(&mut self, now: u64) {
        self.crashed = Some(now);
        self.is_reachable = false;
        self.running.clear();
        self.ended.clear();
    }

    /// Starts the worker again, which knows nothing of before.
    pub fn restart(&mut self, now: u64, keeps_name: bool) {
        self.crashed = None;
        self.crashes += 1;
        self.is_reachable = true;
        self.fence = 0;
        self.next_end = 1;
        self.highest_runs.clear();
        self.report.boot = now;
        if !keeps_name {
            let name = format!("worker-{}-{}", self.instance, self.crashes);
            self.report.name = InstanceName::new(name);
            self.key = None;
        }
    }

    /// Returns the end of a lease that the owner grants now. The owner names a time on the clock of
    /// the boot that has answered, which is far in the future of a later boot's clock.
    pub fn lease_end(&self, now: u64) -> u64 {
        let is_clock_known = self.answered_boot == Some(self.report.boot);
        now + if is_clock_known { LEASE } else { LONGEST_LEASE }
    }

    /// Returns the worker's entry in the list.
    pub fn entry(&self) -> WorkerReport {
        self.outdated_entry.as_ref().unwrap_or(&self.report).clone()
    }

    pub fn tasks(&self) -> Vec<TaskName> {
        self.running.keys().map(|(task, _)| *task).collect()
    }

    pub fn end(&mut self, task: TaskName, run: u64, kind: EndKind) {
        self.running.remove(&(task, run));
        let highest_run = self.highest_runs.entry(task).or_default();
        *highest_run = (*highest_run).max(run);
        self.ended.push(RunEnd {
            number: self.next_end,
            task,
            run,
            kind,
            saved: CompactString::default(),
        });
        self.next_end += 1;
    }

    pub fn advance(&mut self, now: u64) {
        let runs: Vec<_> = self
            .running
            .iter()
            .map(|(id, run)| (*id, run.clone()))
            .collect();
        for ((task, run), state) in runs {
            if state.lease_end <= now {
                self.end(task, run, EndKind::Lapsed);
            } else if state.ends <= now {
                let kind = if state.is_alone {
                    EndKind::Alone
                } else if state.fails {
                    EndKind::Failed
                } else {
                    EndKind::Done
                };
                self.end(task, run, kind);
            }
        }
    }
}
