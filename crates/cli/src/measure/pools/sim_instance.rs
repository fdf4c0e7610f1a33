use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use sesamedeal_core::ids::{InstanceName, ZoneName};
use sesamedeal_core::jobs::{
    EndKind, HoldReport, ResourceAmount, RunEnd, RunReport, TaskName, WorkerKey, WorkerReport,
    WorkerState,
};
use sesamedeal_core::time::TimePoint;

use super::fleet_plan::pool_name;

/// Time that a long-running task takes to start up, in milliseconds.
const START_UP_MS: u64 = 700;

/// Instances of a rack.
const RACK_SIZE: usize = 8;

/// Run of a task on an instance.
#[derive(Debug)]
struct SimRun {
    started_ms: u64,
    /// When the run ends; none for a long-running task.
    ends_ms: Option<u64>,
}

/// Where an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum InstancePlace {
    /// In a pool; `None` is the spare pool.
    Pool(Option<usize>),
    /// On the way to a pool, or failed there, until the given time in milliseconds.
    Away(Option<usize>, u64),
}

/// Simulated instance with its worker.
#[derive(Debug)]
pub(super) struct SimInstance {
    pub number: usize,
    pub place: InstancePlace,
    pub key: Option<WorkerKey>,
    /// Number of the worker's life.
    boot: u64,
    running: BTreeMap<(TaskName, u64), SimRun>,
    ended: Vec<RunEnd>,
    next_end: u64,
    /// When the worker last answered a hold call.
    pub held_ms: u64,
}

impl SimInstance {
    /// Creates an instance in the spare pool.
    pub(super) const fn new(number: usize) -> Self {
        Self {
            number,
            place: InstancePlace::Pool(None),
            key: None,
            boot: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            held_ms: 0,
        }
    }

    pub(super) fn instance_name(&self) -> InstanceName {
        InstanceName::new(format!("i{:05}", self.number))
    }

    pub(super) fn worker_name(&self) -> InstanceName {
        InstanceName::new(format!("w{:05}-{}", self.number, self.boot))
    }

    /// Whether no task runs on the instance.
    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Whether there are ends that the dispatcher has not stored.
    pub(super) fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Starts a new life of the worker in a pool and returns its list entry.
    pub(super) fn start_worker(&mut self, pool: usize, capacity: ResourceAmount) -> WorkerReport {
        self.place = InstancePlace::Pool(Some(pool));
        self.boot += 1;
        self.next_end = 1;
        WorkerReport {
            name: self.worker_name(),
            instance: Some(self.instance_name()),
            pool: pool_name(pool),
            address: ([127, 0, 0, 1], 80).into(),
            zone: ZoneName::new("zone"),
            state: WorkerState::Ready,
            capacity,
            labels: vec![CompactString::from(format!(
                "rack-{}",
                self.number / RACK_SIZE
            ))],
            boot: self.boot,
            warm_up: Duration::ZERO,
        }
    }

    /// Ends everything on the instance.
    pub(super) fn stop_worker(&mut self, place: InstancePlace) {
        self.place = place;
        self.key = None;
        self.running.clear();
        self.ended.clear();
    }

    pub(super) fn start_run(&mut self, task: TaskName, run: u64, now: u64, length: Option<u64>) {
        let entry = SimRun {
            started_ms: now,
            ends_ms: length.map(|length| now + length),
        };
        self.running.insert((task, run), entry);
    }

    pub(super) fn stop_run(&mut self, task: TaskName, run: u64) {
        if self.running.remove(&(task, run)).is_some() {
            self.push_end(task, run, EndKind::Stopped);
        }
    }

    /// Ends the runs that are due.
    pub(super) fn advance(&mut self, now: u64) {
        let due = self
            .running
            .iter()
            .filter(|(_, run)| run.ends_ms.is_some_and(|at| at <= now));
        let due: Vec<(TaskName, u64)> = due.map(|(name, _)| *name).collect();
        for (task, run) in due {
            self.running.remove(&(task, run));
            self.push_end(task, run, EndKind::Done);
        }
    }

    fn push_end(&mut self, task: TaskName, run: u64, kind: EndKind) {
        self.ended.push(RunEnd {
            number: self.next_end,
            task,
            run,
            kind,
            saved: CompactString::default(),
        });
        self.next_end += 1;
    }

    /// Forgets the ends up to `stored` and returns the answer to a hold call.
    pub(super) fn hold(&mut self, stored: u64, now: u64) -> HoldReport {
        self.held_ms = now;
        self.ended.retain(|end| end.number > stored);
        let running = self.running.iter().map(|(&(task, run), entry)| RunReport {
            task,
            run,
            saved: CompactString::default(),
            percent: entry.percent(now),
            gauge: None,
        });
        HoldReport {
            sent: TimePoint::with_millis(now),
            clock_ms: now,
            boot: self.boot,
            running: running.collect(),
            ended: self.ended.clone(),
        }
    }

    /// Pool in which the instance counts as in use; none in the spare pool.
    pub(super) const fn paid_pool(&self) -> Option<usize> {
        match self.place {
            InstancePlace::Pool(pool) | InstancePlace::Away(pool, _) => pool,
        }
    }
}

impl SimRun {
    #[expect(clippy::cast_precision_loss, reason = "times are short")]
    fn percent(&self, now: u64) -> f64 {
        let elapsed = (now - self.started_ms) as f64;
        match self.ends_ms {
            Some(ends) => (elapsed * 100.0 / (ends - self.started_ms).max(1) as f64).min(99.0),
            None => (elapsed * 100.0 / START_UP_MS as f64).min(100.0),
        }
    }
}
