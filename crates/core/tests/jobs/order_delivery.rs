use std::time::Duration;

use rand::RngExt;
use sesamedeal_core::ids::QueueName;
use sesamedeal_core::jobs::{
    EndKind, StartOrder, StartOutcome, StepSpec, TaskName, WorkerKey, WorkerOrder,
};

use super::{ATTEMPTS, JobWorld, LEASE, SimRun, SimWorker, at};

/// Time for which a member of a gang waits for the others, in milliseconds.
const GANG_TIMEOUT: u64 = 3_000;

impl JobWorld {
    /// Plans and returns the starts, which are not delivered. Other orders are dropped.
    pub fn plan_starts(&mut self) -> Vec<(WorkerKey, StartOrder)> {
        let orders = self.dispatcher.plan(at(self.now), self.now).into_iter();
        let starts = orders.filter_map(|order| match order {
            WorkerOrder::Start(key, order) => Some((key, order)),
            _ => None,
        });
        starts.collect()
    }

    pub fn answer_start(&mut self, key: WorkerKey, order: &StartOrder, outcome: StartOutcome) {
        let now = at(self.now);
        self.dispatcher
            .note_start(key, order.task, order.run, outcome, now);
    }

    /// Number of jobs that wait.
    pub fn pending(&self) -> u64 {
        let counts = self.dispatcher.pending();
        counts.get(&QueueName::new("queue")).copied().unwrap_or(0)
    }

    pub(super) fn deliver(&mut self, order: WorkerOrder) {
        match order {
            WorkerOrder::Start(key, order) => self.deliver_start(key, &order),
            WorkerOrder::Stop(key, task, run) => self.deliver_stop(key, task, run),
            WorkerOrder::Pace(..) => {}
        }
    }

    /// Index of a worker, unless it has crashed and its instance has a new one.
    fn index(&self, key: WorkerKey) -> Option<usize> {
        let mut workers = self.workers.iter();
        workers.position(|worker| worker.key == Some(key))
    }

    fn deliver_start(&mut self, key: WorkerKey, order: &StartOrder) {
        let index = self.index(key);
        let is_answer_lost = self.chance(self.faults.lost_starts);
        let fails = self.chance(self.faults.failures);
        let length = self.random.random_range(200..1_200);
        let length = self
            .lengths
            .get(&order.task.step)
            .map_or(length, |known| *known);
        let now = self.now;
        self.dispatcher
            .note_extension(key, LEASE, Duration::ZERO, at(now));
        let index = index.filter(|index| self.workers[*index].is_reachable);
        let Some(index) = index else {
            let outcome = StartOutcome::Unknown;
            self.dispatcher
                .note_start(key, order.task, order.run, outcome, at(now));
            return;
        };
        if self.crashes.lost_orders > 0 {
            self.crashes.lost_orders -= 1;
            self.crash(index);
            let outcome = StartOutcome::Unknown;
            self.dispatcher
                .note_start(key, order.task, order.run, outcome, at(now));
            return;
        }
        if self.workers[index].is_refusing {
            let outcome = StartOutcome::Unavailable;
            self.dispatcher
                .note_start(key, order.task, order.run, outcome, at(now));
            return;
        }
        let fence = self.dispatcher.fence(key);
        let worker = &self.workers[index];
        let is_stale = worker
            .highest_runs
            .get(&order.task)
            .is_some_and(|run| order.run <= *run);
        if fence < worker.fence || worker.answered_fence != Some(fence) || is_stale {
            let outcome = StartOutcome::Refused;
            self.dispatcher
                .note_start(key, order.task, order.run, outcome, at(now));
            return;
        }
        self.check_start(index, order);
        if self.crashes.is_deadly(order.task) {
            self.starts += 1;
            self.crash_by(index, order);
            let outcome = if is_answer_lost {
                StartOutcome::Unknown
            } else {
                StartOutcome::Started
            };
            self.dispatcher
                .note_start(key, order.task, order.run, outcome, at(now));
            return;
        }
        let is_alone = self.crashes.is_gang_broken(order.task, order.run);
        let length = self.run_length(index, order, length);
        let is_long_running = self.step_of(order.task).is_lasting;
        let worker = &mut self.workers[index];
        worker.fence = fence;
        let run = SimRun {
            started: now,
            ends: if is_long_running {
                u64::MAX
            } else if is_alone {
                now + GANG_TIMEOUT
            } else {
                now + length
            },
            lease_end: worker.lease_end(now),
            fails: fails && !is_long_running,
            is_alone,
        };
        worker.running.insert((order.task, order.run), run);
        self.starts += 1;
        let outcome = if is_answer_lost {
            StartOutcome::Unknown
        } else {
            StartOutcome::Started
        };
        self.dispatcher
            .note_start(key, order.task, order.run, outcome, at(now));
    }

    fn deliver_stop(&mut self, key: WorkerKey, task: TaskName, run: u64) {
        let Some(index) = self.index(key) else {
            return;
        };
        let worker = &mut self.workers[index];
        if !worker.is_reachable {
            return;
        }
        if worker.running.contains_key(&(task, run)) {
            worker.end(task, run, EndKind::Stopped);
        }
        let highest_run = worker.highest_runs.entry(task).or_default();
        *highest_run = (*highest_run).max(run);
        self.dispatcher.note_stop(key, task, run, at(self.now));
    }

    pub(super) fn step_of(&self, task: TaskName) -> &StepSpec {
        &self.stored[&task.step.job].0.steps[usize::from(task.step.step)]
    }

    /// Checks the invariants that hold whenever a worker starts a task.
    pub(super) fn check_start(&mut self, index: usize, order: &StartOrder) {
        let task = order.task;
        let mut problems = Vec::new();
        let mut used = self.step_of(task).worker_amount();
        for (other, _) in self.workers[index].running.keys() {
            used += self.step_of(*other).worker_amount();
        }
        if !used.fits(self.allowed_capacity(index)) {
            problems.push("over capacity");
        }
        let is_running = |worker: &SimWorker| worker.running.keys().any(|(name, _)| *name == task);
        if !self.step_of(task).allows_copies && self.workers.iter().any(is_running) {
            problems.push("runs twice");
        }
        if self.acknowledged_done.contains(&task) {
            problems.push("started after an acknowledged end");
        }
        let failures = self.acknowledged_failures.get(&task);
        if failures.is_some_and(|failures| *failures >= ATTEMPTS) {
            problems.push("started beyond its attempts");
        }
        let expiry = order.ticket.as_ref().map(|ticket| ticket.parse::<u64>());
        if expiry.is_some_and(|expiry| expiry.is_ok_and(|expiry| expiry < self.now)) {
            problems.push("started with an expired ticket");
        }
        let order_entry = &self.stored[&task.step.job].0;
        for earlier in &order_entry.steps[usize::from(task.step.step)].after {
            let mut name = task.step;
            name.step = *earlier;
            let count = order_entry.steps[usize::from(*earlier)].count;
            if (0..count).any(|number| !self.done_tasks.contains(&name.task(number))) {
                problems.push("started before an earlier step was done");
            }
        }
        for problem in problems {
            let text = format!("{} ms: {task} run {} {problem}", self.now, order.run);
            self.violations.push(text);
        }
    }
}
