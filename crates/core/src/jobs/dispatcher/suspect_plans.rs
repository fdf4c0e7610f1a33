//! Planned starts of suspects. A suspect starts on a worker that was stored before, so that the next owner
//! presumes that the worker has crashed.

use std::collections::HashMap;

use super::JobDispatcher;
use super::waiting_steps::WaitingStep;
use crate::ids::TeamName;
use crate::jobs::{StepSpec, TaskName, WorkerKey};
use crate::time::TimePoint;

impl JobDispatcher {
    /// Starts a gang with suspects on the workers that were planned for these, once that is stored, or
    /// plans a start on `workers`. Returns false if there is no room.
    pub(super) fn place_suspect_gang(
        &mut self,
        step: &WaitingStep,
        spec: &StepSpec,
        team: Option<&TeamName>,
        (workers, is_alone): (&[WorkerKey], bool),
        now: TimePoint,
    ) -> bool {
        let tasks = step.indexes.iter().map(|&index| step.name.task(index));
        let suspects: Vec<TaskName> = tasks
            .filter(|task| self.startup_crashes(*task) > 0)
            .collect();
        let mut planned = HashMap::new();
        for task in &suspects {
            let history = self.suspects.get_mut(task);
            if let Some(key) = history.and_then(|history| history.planned_worker.take()) {
                self.release_plan(key);
                planned.insert(*task, key);
            }
        }
        if planned.len() == suspects.len() && step.indexes.len() == usize::from(spec.count) {
            let mut keys = planned.values();
            return keys.all(|key| self.accepts_suspect(*key, is_alone, now))
                && self.try_place_gang(step, spec, team, (workers, &planned), now);
        }
        let planned = self.plan_gang(step, spec, team, workers, now);
        for task in suspects {
            if let Some(key) = planned.get(&task) {
                self.plan_start(task, *key);
            }
        }
        !planned.is_empty()
    }

    /// Plans the start of a suspect. It starts once that is stored.
    pub(super) fn plan_start(&mut self, task: TaskName, key: WorkerKey) {
        if let Some(history) = self.suspects.get_mut(&task) {
            history.planned_worker = Some(key);
            history.is_stored = false;
        }
        *self.planned_starts.entry(key).or_default() += 1;
        self.dirty.insert(task.step.job, false);
    }

    pub(super) fn release_plan(&mut self, key: WorkerKey) {
        if let Some(count) = self.planned_starts.get_mut(&key) {
            *count = count.saturating_sub(1);
        }
    }

    /// Whether a suspect can start on the worker that was planned for it.
    pub(super) fn accepts_suspect(&self, key: WorkerKey, is_alone: bool, now: TimePoint) -> bool {
        let entry = self.workers.get(key);
        entry.is_some_and(|entry| entry.is_usable(now))
            && self.is_capacity_current(key, now)
            && self.is_quiet(key, is_alone)
    }
}
