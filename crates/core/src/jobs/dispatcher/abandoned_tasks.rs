//! Tasks that are given up because workers crashed under them.

use super::JobDispatcher;
use crate::jobs::crash_history::{CrashHistory, WorkerCrash};
use crate::jobs::{JobId, JobPhase, TaskName};
use crate::time::TimePoint;

/// Task that is not started again because workers crashed under it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AbandonedTask {
    /// Name of the task.
    pub task: TaskName,
    /// Crashes under the task.
    pub crashes: Vec<WorkerCrash>,
    /// Whether its job has ended as failed. Otherwise the job goes on without the task.
    pub ends_job: bool,
}

impl AbandonedTask {
    /// Names of the workers that crashed, separated by spaces.
    #[must_use]
    pub fn worker_names(&self) -> String {
        let names = self.crashes.iter().map(|crash| crash.worker.as_str());
        names.collect::<Vec<_>>().join(" ")
    }
}

impl JobDispatcher {
    /// Takes the tasks that were given up since the last call.
    pub fn take_abandoned_tasks(&mut self) -> Vec<AbandonedTask> {
        std::mem::take(&mut self.abandoned_tasks)
    }

    /// Gives up the tasks under which too many workers have crashed, and ends their jobs. Waits until
    /// the last run is known to be lost, since a worker that does not answer may be cut off.
    ///
    /// A job with a disruption budget goes on without the task while others of its tasks run, since
    /// they must not be stopped.
    pub(super) fn abandon_tasks(&mut self, now: TimePoint) {
        let exhausted = self.suspects.iter().filter(|(task, history)| {
            history.is_exhausted() && !self.may_still_run(**task, history, now)
        });
        let exhausted: Vec<TaskName> = exhausted.map(|(task, _)| *task).collect();
        for task in exhausted {
            let id = task.step.job;
            if self.phase(id).is_none_or(|phase| phase.is_final()) {
                self.forget_crashes(id);
                continue;
            }
            let ends_job = !self.has_protected_runs(id, now);
            let history = self.suspects.get_mut(&task);
            if let Some(history) = history
                && !history.is_reported
            {
                history.is_reported = true;
                self.abandoned_tasks.push(AbandonedTask {
                    task,
                    crashes: history.crashes.clone(),
                    ends_job,
                });
            }
            if ends_job {
                self.end_job(id, JobPhase::Failed);
                self.forget_crashes(id);
            }
        }
    }

    /// Whether tasks with a disruption budget of a job run or, after a takeover, may run.
    fn has_protected_runs(&self, id: JobId, now: TimePoint) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let may_be_unknown = job.is_inherited && now <= self.inherited_lease_end;
        let specs = job.order.steps.iter().enumerate();
        let mut protected = specs.filter(|(_, spec)| spec.disruption_budget.is_some());
        protected.any(|(number, _)| {
            let steps = job.occurrences.iter().map(|entry| &entry.steps[number]);
            let mut tasks = steps.flat_map(|step| &step.tasks);
            may_be_unknown || tasks.any(|task| task.runs.iter().any(|run| !run.is_stopping()))
        })
    }

    /// Whether a task may run on a worker whose crash is not certain yet. A crash that was loaded
    /// from the store is certain when the lease of the worker has expired.
    fn may_still_run(&self, name: TaskName, history: &CrashHistory, now: TimePoint) -> bool {
        let Some(task) = self.task(name) else {
            return false;
        };
        let is_open = |crash: &WorkerCrash| match self.keys_by_name.get(&crash.worker) {
            Some(&key) => {
                let entry = &self.workers[key];
                !entry.is_list_whole && now <= entry.unnoticed_lease_end
            }
            None => now <= self.inherited_lease_end,
        };
        !task.runs.is_empty() || (!task.is_settled && history.crashes.iter().any(is_open))
    }
}
