//! Relocation of tasks from workers that leave or go into maintenance.

use super::JobDispatcher;
use crate::ids::InstanceName;
use crate::jobs::job_entry::JobEntry;
use crate::jobs::run_entry::{RunEntry, RunState};
use crate::jobs::{MaintenanceCandidate, StepName, TaskName, WorkerKey, WorkerState};
use crate::time::TimePoint;

impl JobDispatcher {
    /// Starts or ends the evacuation of a worker, also while the list does not have it.
    pub fn set_evacuating(&mut self, name: &InstanceName, is_evacuating: bool) {
        if let Some(&key) = self.keys_by_name.get(name) {
            self.workers[key].is_evacuating = is_evacuating;
        }
    }

    /// Sets whether the instance of a worker waits for maintenance.
    ///
    /// The long-running tasks of such a worker are relocated one after another ahead of the
    /// maintenance, because this takes longer than the maintenance of all other instances.
    pub fn set_maintenance_due(&mut self, name: &InstanceName, is_maintenance_due: bool) {
        if let Some(&key) = self.keys_by_name.get(name) {
            self.workers[key].is_maintenance_due = is_maintenance_due;
        }
    }

    /// Whether an instance has no runs, not even unconfirmed ones.
    ///
    /// Returns `None` if its worker is unknown or has not answered under this epoch. `worker` is
    /// the worker of the instance according to the inventory, which may be out of date, so workers
    /// that the list assigns to the instance are checked too.
    #[must_use]
    pub fn is_instance_idle(
        &self,
        instance: &InstanceName,
        worker: Option<&InstanceName>,
    ) -> Option<bool> {
        let by_inventory = match worker {
            Some(worker) => Some(&self.workers[*self.keys_by_name.get(worker)?]),
            None => None,
        };
        let on_instance = self
            .workers
            .values()
            .filter(|entry| entry.is_listed && entry.report.instance.as_ref() == Some(instance));
        let mut is_idle = true;
        for entry in by_inventory.into_iter().chain(on_instance) {
            // Ends that no list has shown yet would be lost with the instance.
            if entry.list_requested.is_none() || entry.is_list_cut {
                return None;
            }
            is_idle &=
                entry.runs.is_empty() && !entry.has_unknown_runs && entry.unread_runs.is_empty();
        }
        Some(is_idle)
    }

    /// Returns what decides whether an instance is taken out for maintenance now, or `None` if its
    /// worker is not listed.
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
            is_unlisted: false,
            is_evacuating: entry.is_evacuating,
            is_blocked: runs.any(|(task, _)| !self.allows_disruption(*task, now)),
            is_last_usable: self.is_last_usable(key, now),
            has_long_running: entry
                .runs
                .keys()
                .any(|(task, _)| self.is_long_running(*task)),
            cpu_in_use: entry.used.cpu_millis,
        })
    }

    /// Whether the pool has other listed workers but none of them is usable now. The others are
    /// being evacuated, lost or new, and are expected to become usable.
    fn is_last_usable(&self, key: WorkerKey, now: TimePoint) -> bool {
        let pool = &self.workers[key].report.pool;
        let others = self.workers.iter().filter(|(other, entry)| {
            *other != key && entry.is_listed && entry.report.pool == *pool
        });
        let mut others = others.peekable();
        others.peek().is_some() && !others.any(|(_, entry)| entry.is_usable(now))
    }

    /// Whether a long-running task with a disruption budget is starting up on a worker.
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

    pub(super) fn is_long_running(&self, name: TaskName) -> bool {
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
            let may_wait = !is_draining && !self.workers[key].is_evacuating;
            let mut runs: Vec<_> = self.workers[key].runs.keys().copied().collect();
            runs.sort_unstable();
            for (name, run) in runs {
                if self.should_stop(name, is_draining, now)
                    && (!may_wait || self.has_target(name, key, now))
                    && let Some(entry) = self.run_mut(name, run, key)
                    && entry.state == RunState::Running
                    && entry.request_stop()
                {
                    self.stopping_jobs.insert(name.step.job);
                }
            }
        }
    }

    /// Whether to stop a task on a worker that leaves. Batch tasks that do not save progress run to
    /// their end.
    fn should_stop(&self, name: TaskName, is_draining: bool, now: TimePoint) -> bool {
        let Some(job) = self.jobs.get(&name.step.job) else {
            return false;
        };
        let spec = &job.order.steps[usize::from(name.step.step)];
        if spec.is_lasting {
            return is_draining || self.allows_disruption(name, now);
        }
        is_draining && spec.saves_progress
    }

    /// Whether the disruption budget of the task's step allows stopping the task.
    fn allows_disruption(&self, name: TaskName, now: TimePoint) -> bool {
        let Some(job) = self.jobs.get(&name.step.job) else {
            return true;
        };
        let spec = &job.order.steps[usize::from(name.step.step)];
        let Some(budget) = spec.disruption_budget else {
            return true;
        };
        let is_paused = now.since(self.takeover_time) < self.policy.takeover_pause;
        !is_paused && self.count_unavailable(job, name.step, name.index, now) < usize::from(budget)
    }

    /// Counts the tasks of a step, apart from task `except`, that are not known to be available. If
    /// the newest list of a worker is old, the worker and its tasks may have failed since.
    fn count_unavailable(
        &self,
        job: &JobEntry,
        name: StepName,
        except: u16,
        now: TimePoint,
    ) -> usize {
        let Some(step) = job.step(name.occurrence, name.step) else {
            return 0;
        };
        let tasks = step.tasks.iter().enumerate();
        let unavailable = tasks.filter(|(index, task)| {
            *index != usize::from(except)
                && !task.runs.iter().any(|run| self.is_available(run, now))
        });
        unavailable.count()
    }

    fn is_available(&self, run: &RunEntry, now: TimePoint) -> bool {
        let worker = &self.workers[run.worker];
        let is_fresh = worker
            .list_received
            .is_some_and(|received| now.since(received) <= self.policy.max_list_age);
        is_fresh
            && !worker.is_unresponsive
            && run.state == RunState::Running
            && run.percent >= 100.0
    }
}
