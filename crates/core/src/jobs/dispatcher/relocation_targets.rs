//! Whether long-running tasks have room on other workers of their pool.

use std::collections::HashMap;

use super::JobDispatcher;
use crate::ids::{InstanceName, PoolName};
use crate::jobs::{ResourceAmount, StepName, StepSpec, TaskName, WorkerKey};
use crate::time::TimePoint;

/// Long-running tasks on the workers of a pool that stay.
#[derive(Debug, Default)]
struct StayingWorkers {
    /// Workers, and what their long-running tasks use.
    used: Vec<(WorkerKey, ResourceAmount)>,
    /// Number of tasks of a step on a worker.
    by_step: HashMap<(WorkerKey, StepName), usize>,
}

impl JobDispatcher {
    /// Whether a pool can do without a worker, beside those that are being evacuated: their
    /// long-running tasks, and those that wait, have room on the other workers, or the disruption
    /// budgets of their steps cover those that do not. Otherwise none of these workers can be emptied.
    ///
    /// `waiting` are the long-running tasks that wait. A pool without other workers has to wait for the
    /// maintenance in any case.
    #[must_use]
    pub fn can_spare(
        &self,
        name: &InstanceName,
        waiting: &HashMap<PoolName, Vec<TaskName>>,
        now: TimePoint,
    ) -> bool {
        let Some(key) = self.worker_key(name) else {
            return true;
        };
        let pool = &self.workers[key].report.pool;
        let workers = self.workers.iter();
        let others = workers.filter(|(other, entry)| {
            *other != key && entry.is_listed && entry.report.pool == *pool
        });
        let (staying, leaving): (Vec<_>, Vec<_>) =
            others.partition(|(_, entry)| entry.is_usable(now));
        if staying.is_empty() {
            return true;
        }
        let leaving = leaving.into_iter().filter(|(_, entry)| entry.is_evacuating);
        let leaving = leaving.map(|(key, _)| key).chain([key]);
        let mut tasks: Vec<TaskName> = leaving.flat_map(|key| self.lasting_tasks(key)).collect();
        tasks.extend(waiting.get(pool).into_iter().flatten());
        let staying = staying.into_iter().map(|(key, _)| key);
        self.are_covered(tasks, self.staying_workers(staying.collect()))
    }

    /// Whether a task could start now on a worker of its pool that does not wait for maintenance, other
    /// than `key`.
    pub(super) fn has_target(&self, task: TaskName, key: WorkerKey, now: TimePoint) -> bool {
        let Some(spec) = self.step_spec(task) else {
            return false;
        };
        let pool = &self.workers[key].report.pool;
        self.workers.iter().any(|(other, entry)| {
            other != key
                && entry.report.pool == *pool
                && entry.is_usable(now)
                && !entry.is_maintenance_due
                && spec.worker_amount().fits(entry.room())
                && self.is_suitable(task.step, spec, other)
        })
    }

    fn staying_workers(&self, keys: Vec<WorkerKey>) -> StayingWorkers {
        let mut staying = StayingWorkers::default();
        for key in keys {
            let mut used = ResourceAmount::default();
            for task in self.lasting_tasks(key) {
                if let Some(spec) = self.step_spec(task) {
                    used += spec.worker_amount();
                }
                *staying.by_step.entry((key, task.step)).or_default() += 1;
            }
            staying.used.push((key, used));
        }
        staying
    }

    /// Long-running tasks that run on a worker and are not being stopped.
    fn lasting_tasks(&self, key: WorkerKey) -> Vec<TaskName> {
        let runs = self.workers[key].runs.keys();
        let lasting = runs.filter(|(task, run)| {
            let run = self.run(*task, *run, key);
            self.is_long_running(*task) && run.is_some_and(|run| !run.is_stopping())
        });
        lasting.map(|(task, _)| *task).collect()
    }

    /// Long-running tasks that wait, by pool.
    #[must_use]
    pub fn waiting_long_running(&self, now: TimePoint) -> HashMap<PoolName, Vec<TaskName>> {
        let mut waiting: HashMap<PoolName, Vec<TaskName>> = HashMap::new();
        let steps = self.waiting_steps_where(now, |job, _| {
            let mut specs = job.order.steps.iter();
            specs.any(|spec| spec.is_lasting)
        });
        for step in steps {
            if !step.is_copy && self.is_long_running(step.name.task(0)) {
                let tasks = step.indexes.iter().map(|index| step.name.task(*index));
                waiting.entry(step.pool).or_default().extend(tasks);
            }
        }
        waiting
    }

    /// Whether the tasks have room on the workers, or the budgets of their steps cover the others.
    fn are_covered(&self, tasks: Vec<TaskName>, mut staying: StayingWorkers) -> bool {
        let mut without_room: HashMap<StepName, usize> = HashMap::new();
        for task in tasks {
            let Some(spec) = self.step_spec(task) else {
                continue;
            };
            if !self.take_room(task.step, spec, &mut staying) {
                *without_room.entry(task.step).or_default() += 1;
            }
        }
        without_room.into_iter().all(|(step, count)| {
            let spec = self.step_spec(step.task(0));
            let budget = spec.and_then(|spec| spec.disruption_budget);
            budget.is_none_or(|budget| count <= usize::from(budget))
        })
    }

    /// Takes room for a task of a step on one of the workers, and returns false if none has any.
    fn take_room(&self, step: StepName, spec: &StepSpec, staying: &mut StayingWorkers) -> bool {
        let amount = spec.worker_amount();
        for (key, used) in &mut staying.used {
            let entry = &self.workers[*key];
            let mut needed = *used;
            needed += amount;
            let count = staying.by_step.entry((*key, step)).or_default();
            let has_label = spec
                .required_label
                .as_ref()
                .is_none_or(|label| entry.has_label(label));
            let is_below_max = spec
                .max_per_worker
                .is_none_or(|max| *count < usize::from(max));
            if has_label && is_below_max && needed.fits(entry.report.capacity) {
                *used = needed;
                *count += 1;
                return true;
            }
        }
        false
    }
}
