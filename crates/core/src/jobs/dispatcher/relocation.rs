//! Tasks that are moved away from workers that leave or go into maintenance.

use super::JobDispatcher;
use crate::ids::InstanceName;
use crate::jobs::job_entry::JobEntry;
use crate::jobs::run_entry::{RunEntry, RunState};
use crate::jobs::{MaintenanceCandidate, StepName, TaskName, WorkerKey, WorkerState};
use crate::time::TimePoint;

impl JobDispatcher {
    /// Starts or ends the evacuation of a worker.
    pub fn set_evacuating(&mut self, name: &InstanceName, is_evacuating: bool) {
        if let Some(key) = self.worker_key(name) {
            self.workers[key].is_evacuating = is_evacuating;
        }
    }

    /// Notes whether the instance of a worker waits for maintenance. Its tasks that last move away
    /// one after another, which takes longer than the maintenance of all other instances.
    pub fn set_maintenance_due(&mut self, name: &InstanceName, is_maintenance_due: bool) {
        if let Some(key) = self.worker_key(name) {
            self.workers[key].is_maintenance_due = is_maintenance_due;
        }
    }

    /// Whether nothing runs on an instance, nor may begin; none if that is not known, because its
    /// worker is new here or has not answered under this epoch.
    ///
    /// `worker` is the worker of the instance by the inventory, which lags. Workers that the list
    /// names for the instance count too.
    #[must_use]
    pub fn is_instance_idle(
        &self,
        instance: &InstanceName,
        worker: Option<&InstanceName>,
    ) -> Option<bool> {
        let named = match worker {
            Some(worker) => Some(&self.workers[*self.names.get(worker)?]),
            None => None,
        };
        let on_instance = self
            .workers
            .values()
            .filter(|entry| entry.is_listed && entry.report.instance.as_ref() == Some(instance));
        let mut is_empty = true;
        for entry in named.into_iter().chain(on_instance) {
            entry.list_requested?;
            is_empty &= entry.runs.is_empty() && !entry.has_unknown_runs;
        }
        Some(is_empty)
    }

    /// What speaks for taking a worker out for maintenance now.
    #[must_use]
    pub fn maintenance_candidate(
        &self,
        name: &InstanceName,
        instance: InstanceName,
        now: TimePoint,
    ) -> Option<MaintenanceCandidate> {
        let key = self.worker_key(name)?;
        let entry = &self.workers[key];
        let mut runs = entry.runs.keys();
        Some(MaintenanceCandidate {
            instance,
            is_evacuating: entry.is_evacuating,
            is_blocked: runs.any(|(task, _)| !self.may_take_out(*task, now)),
            is_last_usable: self.is_last_usable(key, now),
            has_long_running: entry.runs.keys().any(|(task, _)| self.is_lasting(*task)),
            cpu_in_use: entry.used.cpu_millis,
        })
    }

    /// Whether no other worker of the pool takes tasks now, although the list has others: they are
    /// emptied, lost or new, and will be back.
    fn is_last_usable(&self, key: WorkerKey, now: TimePoint) -> bool {
        let pool = &self.workers[key].report.pool;
        let others = self.workers.iter().filter(|(other, entry)| {
            *other != key && entry.is_listed && entry.report.pool == *pool
        });
        let mut others = others.peekable();
        others.peek().is_some() && !others.any(|(_, entry)| entry.is_usable(now))
    }

    /// Whether a task that lasts and has a disruption budget starts up on a worker.
    #[must_use]
    pub fn has_starting_task(&self, key: WorkerKey) -> bool {
        let Some(entry) = self.workers.get(key) else {
            return false;
        };
        entry.runs.keys().any(|(name, number)| {
            let has_budget = self
                .step_spec(*name)
                .is_some_and(|spec| spec.is_lasting && spec.disruption_budget.is_some());
            let runs = self.task(*name).map_or(&[][..], |task| &task.runs);
            let mut runs = runs.iter().filter(|run| run.run == *number);
            has_budget && runs.any(|run| run.percent < 100.0 && !run.is_stopping())
        })
    }

    pub(super) fn is_lasting(&self, name: TaskName) -> bool {
        self.step_spec(name).is_some_and(|spec| spec.is_lasting)
    }

    pub(super) fn relocate(&mut self, now: TimePoint) {
        let leaving = self.workers.iter().filter(|(_, entry)| {
            entry.is_evacuating
                || entry.is_maintenance_due
                || entry.report.state == WorkerState::Draining
        });
        let leaving: Vec<WorkerKey> = leaving.map(|(key, _)| key).collect();
        for key in leaving {
            let is_draining = self.workers[key].report.state == WorkerState::Draining;
            let mut runs: Vec<_> = self.workers[key].runs.keys().copied().collect();
            runs.sort_unstable();
            for (name, run) in runs {
                if self.is_to_move(name, is_draining, now)
                    && let Some(entry) = self.run_mut(name, run, key)
                    && entry.state == RunState::Running
                {
                    entry.request_stop();
                }
            }
        }
    }

    /// Whether a task on a leaving worker is stopped. Short tasks without saved progress run out.
    fn is_to_move(&self, name: TaskName, is_draining: bool, now: TimePoint) -> bool {
        let Some(job) = self.jobs.get(&name.step.job) else {
            return false;
        };
        let spec = &job.order.steps[usize::from(name.step.step)];
        if spec.is_lasting {
            return is_draining || self.may_take_out(name, now);
        }
        is_draining && spec.saves_progress
    }

    /// Whether the disruption budget of the task's step allows that the task is taken out.
    fn may_take_out(&self, name: TaskName, now: TimePoint) -> bool {
        let Some(job) = self.jobs.get(&name.step.job) else {
            return true;
        };
        let spec = &job.order.steps[usize::from(name.step.step)];
        let Some(budget) = spec.disruption_budget else {
            return true;
        };
        let is_quiet = now.since(self.taken) < self.policy.takeover_pause;
        !is_quiet && self.missing(job, name.step, name.index, now) < usize::from(budget)
    }

    /// Tasks of a step, except for one, that are not known to be at work. A task on a worker whose
    /// newest list is old may have ended with it.
    fn missing(&self, job: &JobEntry, name: StepName, except: u16, now: TimePoint) -> usize {
        let Some(step) = job.step(name.occurrence, name.step) else {
            return 0;
        };
        let tasks = step.tasks.iter().enumerate();
        let missing = tasks.filter(|(index, task)| {
            *index != usize::from(except) && !task.runs.iter().any(|run| self.is_at_work(run, now))
        });
        missing.count()
    }

    fn is_at_work(&self, run: &RunEntry, now: TimePoint) -> bool {
        let worker = &self.workers[run.worker];
        let is_fresh = worker
            .list_received
            .is_some_and(|heard| now.since(heard) <= self.policy.max_list_age);
        is_fresh
            && !worker.is_unresponsive
            && run.state == RunState::Running
            && run.percent >= 100.0
    }
}
