//! Gang scheduling: all tasks of a step start together or not at all.

use std::collections::HashMap;

use compact_str::CompactString;

use super::JobDispatcher;
use super::waiting_steps::WaitingStep;
use crate::ids::TeamName;
use crate::jobs::{StepSpec, TaskName, WorkerKey};
use crate::time::TimePoint;

impl JobDispatcher {
    /// Starts all tasks of a gang and returns true, or starts none. If the step prefers one rack,
    /// tries each rack first, and may wait for one.
    pub(super) fn place_gang(
        &mut self,
        step: &WaitingStep,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &[WorkerKey],
        now: TimePoint,
    ) -> bool {
        if step.indexes.len() < usize::from(spec.count) {
            return false;
        }
        let racks = if spec.prefers_one_rack {
            self.racks(workers)
        } else {
            Vec::new()
        };
        let free = HashMap::new();
        for rack in &racks {
            if self.try_place_gang(step, spec, team, (rack, &free), now) {
                return true;
            }
        }
        if self.gang_waits(step, spec, team, workers, now) {
            return false;
        }
        self.try_place_gang(step, spec, team, (workers, &free), now)
    }

    /// Number of the next run of a gang, whose members share it.
    fn next_gang_run(&self, step: &WaitingStep) -> u64 {
        let last = step.indexes.iter().filter_map(|&index| {
            let task = self.task(step.name.task(index))?;
            Some(task.last_run)
        });
        last.max().unwrap_or(0).max(self.run_number_base) + 1
    }

    /// Finds workers for all tasks of a gang, without starting any. Returns none if there is no room for
    /// all.
    pub(super) fn plan_gang(
        &mut self,
        step: &WaitingStep,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &[WorkerKey],
        now: TimePoint,
    ) -> HashMap<TaskName, WorkerKey> {
        let orders = self.orders.len();
        let last_runs: Vec<(TaskName, u64)> = self.last_runs(step);
        if !self.place_gang(step, spec, team, workers, now) {
            return HashMap::new();
        }
        self.orders.truncate(orders);
        let run = self.next_gang_run(step) - 1;
        let mut planned = HashMap::new();
        for (task, last_run) in last_runs {
            let runs = self.task(task).map_or(&[][..], |task| &task.runs);
            let key = runs.iter().find(|entry| entry.run == run);
            planned.extend(key.map(|entry| (task, entry.worker)));
            self.undo_start(task, run, last_run);
        }
        planned
    }

    fn last_runs(&self, step: &WaitingStep) -> Vec<(TaskName, u64)> {
        let tasks = step.indexes.iter().map(|&index| step.name.task(index));
        let last = tasks.map(|task| (task, self.task(task).map_or(0, |entry| entry.last_run)));
        last.collect()
    }

    /// Task that keeps the saved progress of a task. All members of a gang start with the same
    /// progress, and that of any of them is valid for all.
    pub(super) fn progress_task(&self, name: TaskName) -> TaskName {
        let is_gang = self.step_spec(name).is_some_and(|spec| spec.is_gang);
        if is_gang { name.step.task(0) } else { name }
    }

    /// Keeps the progress that a worker has reported, unless there is none.
    pub(super) fn note_progress(&mut self, name: TaskName, saved: &CompactString) {
        let task = self.progress_task(name);
        if let Some(task) = self.task_mut(task).filter(|_| !saved.is_empty()) {
            task.saved.clone_from(saved);
        }
    }

    fn racks(&self, workers: &[WorkerKey]) -> Vec<Vec<WorkerKey>> {
        let mut racks: HashMap<&str, Vec<WorkerKey>> = HashMap::new();
        for &key in workers {
            if let Some(rack) = self.rack_of(key) {
                racks.entry(rack.as_str()).or_default().push(key);
            }
        }
        let mut racks: Vec<_> = racks.into_iter().collect();
        racks.sort_unstable();
        racks.into_iter().map(|(_, workers)| workers).collect()
    }

    /// Starts all tasks of a gang and returns true, or starts none. Tasks with a planned worker start
    /// there, and others on any of the workers.
    pub(super) fn try_place_gang(
        &mut self,
        step: &WaitingStep,
        spec: &StepSpec,
        team: Option<&TeamName>,
        (workers, planned): (&[WorkerKey], &HashMap<TaskName, WorkerKey>),
        now: TimePoint,
    ) -> bool {
        let run = self.next_gang_run(step);
        let mut placed: Vec<(TaskName, u64)> = Vec::new();
        let orders = self.orders.len();
        for &index in &step.indexes {
            let task = step.name.task(index);
            let workers = planned.get(&task).map_or(workers, std::slice::from_ref);
            let key = self
                .is_within_limit(team, spec.amount)
                .then(|| self.select_worker(step.name, spec, workers, now))
                .flatten();
            let Some(key) = key else {
                self.orders.truncate(orders);
                for (task, last_run) in placed {
                    self.undo_start(task, run, last_run);
                }
                return false;
            };
            let last_run = self.task(task).map_or(0, |entry| entry.last_run);
            self.start_run(task, run, key, now);
            placed.push((task, last_run));
        }
        true
    }

    /// Undoes a start whose order has not been sent. `last_run` is the task's last run before it.
    fn undo_start(&mut self, name: TaskName, run: u64, last_run: u64) {
        let runs = self.task(name).map(|task| task.runs.clone());
        for entry in runs.unwrap_or_default() {
            self.release(name, run, entry.worker);
        }
        if let Some(task) = self.task_mut(name) {
            task.last_run = last_run;
        }
    }
}
