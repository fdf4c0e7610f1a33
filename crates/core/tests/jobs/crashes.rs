use std::collections::{HashMap, HashSet};

use rand::RngExt;
use sesamedeal_core::jobs::{
    AbandonedTask, StartOrder, StepName, TaskName, WorkerKey, WorkerReport,
};

use super::{JobWorld, at};

/// Time from a crash until the worker is back, in milliseconds.
const DOWNTIME: u64 = 3_200;

/// Time from a crash until the platform's list drops the worker, in milliseconds.
const LIST_LAG: u64 = 4_500;

/// Number of workers that a task may crash: three, and two more by starts that are under way or
/// that an owner decides before it knows.
const MAX_CRASHES: u32 = 5;

/// Worker that has ended and that the platform still lists.
#[derive(Debug)]
struct LostWorker {
    report: WorkerReport,
    key: Option<WorkerKey>,
    /// When the platform drops the entry.
    dropped: u64,
}

/// Tasks that crash the workers that start them, and what they did.
#[derive(Debug, Default)]
pub struct CrashLog {
    deadly: HashSet<TaskName>,
    by_task: HashMap<TaskName, u32>,
    /// Number of start orders that are still to be lost before they reach their worker, which crashes
    /// soon after.
    pub lost_orders: u32,
    /// Tasks that the dispatcher gave up.
    pub abandoned: Vec<AbandonedTask>,
    lost: Vec<LostWorker>,
    /// Runs of gangs that lost a member.
    broken_gangs: HashSet<(StepName, u64)>,
}

impl CrashLog {
    pub fn is_deadly(&self, task: TaskName) -> bool {
        self.deadly.contains(&task)
    }

    /// Whether the run belongs to a gang that has lost a member.
    pub fn is_gang_broken(&self, task: TaskName, run: u64) -> bool {
        self.broken_gangs.contains(&(task.step, run))
    }

    /// Number of workers that a task has crashed.
    pub fn count(&self, task: TaskName) -> u32 {
        self.by_task.get(&task).copied().unwrap_or(0)
    }
}

impl JobWorld {
    /// Makes each worker crash that starts the task.
    pub fn make_deadly(&mut self, task: TaskName) {
        self.crashes.deadly.insert(task);
    }

    pub(super) fn crash_by(&mut self, index: usize, order: &StartOrder) {
        let task = order.task;
        if self.step_of(task).is_gang {
            self.crashes.broken_gangs.insert((task.step, order.run));
        }
        let crashes = self.crashes.by_task.entry(task).or_default();
        *crashes += 1;
        if *crashes > MAX_CRASHES {
            let text = format!("{} ms: {task} has crashed {crashes} workers", self.now);
            self.violations.push(text);
        }
        self.crash(index);
    }

    pub fn crash(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        if worker.crashed.is_none() {
            worker.crash(self.now);
        }
    }

    pub(super) fn restart_crashed(&mut self) {
        let now = self.now;
        let mut is_any_back = false;
        for index in 0..self.workers.len() {
            let Some(crashed) = self.workers[index].crashed else {
                continue;
            };
            if crashed + DOWNTIME > now {
                continue;
            }
            is_any_back = true;
            let keeps_name = self.chance(self.faults.kept_names);
            let worker = &mut self.workers[index];
            if !keeps_name {
                self.crashes.lost.push(LostWorker {
                    report: worker.report.clone(),
                    key: worker.key,
                    dropped: crashed + LIST_LAG,
                });
            }
            worker.restart(now, keeps_name);
        }
        if is_any_back {
            self.list_workers();
        }
        let (dropped, lost) = std::mem::take(&mut self.crashes.lost)
            .into_iter()
            .partition(|worker| worker.dropped <= now);
        self.crashes.lost = lost;
        let dropped: Vec<LostWorker> = dropped;
        for worker in dropped {
            self.dispatcher.unlist_worker(&worker.report.name);
        }
    }

    /// Reports lost workers that the platform still lists.
    pub(super) fn list_lost(&mut self) {
        for worker in &mut self.crashes.lost {
            let report = worker.report.clone();
            worker.key = Some(self.dispatcher.set_worker(report, at(self.now)).0);
        }
    }

    /// Reports that lost workers do not answer.
    pub(super) fn hold_lost(&mut self) {
        for key in self.crashes.lost.iter().filter_map(|worker| worker.key) {
            self.dispatcher.note_unresponsive(key);
        }
    }

    /// Returns a random number below `count`.
    pub fn pick(&mut self, count: u16) -> u16 {
        self.random.random_range(0..count)
    }
}
