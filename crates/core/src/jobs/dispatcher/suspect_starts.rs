//! Placement of suspects: apart from each other, and alone after a second crash.

use std::collections::{HashMap, HashSet};

use super::JobDispatcher;
use super::waiting_steps::WaitingStep;
use crate::ids::{PoolName, TeamName};
use crate::jobs::{StepName, StepSpec, SuspectCounts, TaskName, WorkerKey};
use crate::time::TimePoint;

/// Number of startup crashes from which a task starts alone on its worker.
const ISOLATED_CRASHES: usize = 2;

/// Number of suspects that start on a worker at the same time, unless many wait.
const SUSPECTS_PER_WORKER: usize = 2;

/// Number of turns for which suspects are planned on a worker. Each plan is stored before its start.
const PLANNED_TURNS: usize = 4;

/// Number of turns in which all waiting suspects of a pool start. A turn takes about half a second: a
/// write, a start, and the time for which a task has to run.
const SUSPECT_TURNS: usize = 8;

impl JobDispatcher {
    /// Numbers of the tasks that are implicated in crashes, by what holds them back.
    #[must_use]
    pub fn suspect_counts(&self) -> SuspectCounts {
        let mut counts = SuspectCounts::default();
        for history in self.suspects.values() {
            counts.total += 1;
            counts.unstored += usize::from(!history.is_stored);
            counts.isolated += usize::from(history.startup_crashes() >= ISOLATED_CRASHES);
            counts.planned += usize::from(history.planned_worker.is_some());
            counts.exhausted += usize::from(history.is_exhausted());
        }
        counts
    }

    /// Sets how many suspects start on a worker at the same time. After crashes of many workers there
    /// are too many suspects to start them two at a time.
    pub(super) fn set_suspect_limits(
        &mut self,
        waiting: &[WaitingStep],
        pools: &HashMap<PoolName, Vec<WorkerKey>>,
    ) {
        self.suspect_limits.clear();
        for step in waiting.iter().filter(|step| step.is_suspect) {
            let count = self.suspect_limits.entry(step.pool.clone()).or_default();
            *count += step.indexes.len();
        }
        for (pool, count) in &mut self.suspect_limits {
            let workers = pools.get(pool).map_or(0, Vec::len).max(1);
            *count = count.div_ceil(workers * SUSPECT_TURNS);
        }
    }

    /// Whether a task may get a second run. One that may only start alone may not.
    pub(super) fn may_copy(&self, task: TaskName) -> bool {
        self.may_start_again(task) && self.startup_crashes(task) < ISOLATED_CRASHES
    }

    /// Splits tasks of a step into suspects, for which the flag is true, and others. A gang with a
    /// suspect is one as a whole. Returns no empty groups.
    pub(super) fn split_suspects(
        &self,
        step: StepName,
        spec: &StepSpec,
        indexes: Vec<u16>,
    ) -> Vec<(Vec<u16>, bool)> {
        let is_suspect = |index: &u16| self.startup_crashes(step.task(*index)) > 0;
        let (suspects, others) = if !spec.is_gang {
            indexes.into_iter().partition(is_suspect)
        } else if indexes.iter().any(is_suspect) {
            (indexes, Vec::new())
        } else {
            (Vec::new(), indexes)
        };
        let groups = [(others, false), (suspects, true)].into_iter();
        groups.filter(|(indexes, _)| !indexes.is_empty()).collect()
    }

    /// Drops the planned starts on workers that are gone or not in the pool of the task's queue, and
    /// counts the others.
    pub(super) fn drop_stale_plans(&mut self) {
        let planned = self.suspects.iter().filter_map(|(task, history)| {
            let key = history.planned_worker?;
            (!self.is_in_pool(*task, key)).then_some(*task)
        });
        let stale: Vec<TaskName> = planned.collect();
        for task in stale {
            if let Some(history) = self.suspects.get_mut(&task) {
                history.planned_worker = None;
            }
        }
        self.planned_starts.clear();
        let planned = self.suspects.values();
        for key in planned.filter_map(|history| history.planned_worker) {
            *self.planned_starts.entry(key).or_default() += 1;
        }
    }

    /// Lasting tasks that are about to start, and their workers.
    pub(super) fn planned_lasting_tasks(&self) -> Vec<(TaskName, WorkerKey)> {
        let planned = self.suspects.iter();
        let planned = planned.filter_map(|(task, history)| Some((*task, history.planned_worker?)));
        let lasting = planned.filter(|(task, _)| self.is_long_running(*task));
        lasting.collect()
    }

    fn is_in_pool(&self, task: TaskName, key: WorkerKey) -> bool {
        let job = self.jobs.get(&task.step.job);
        let pool = job.and_then(|job| self.pool_of(&job.order.queue));
        pool.is_some() && pool == self.workers.get(key).map(|entry| &entry.report.pool)
    }

    /// Returns the workers on which a task that must start alone is starting, or is about to.
    pub(super) fn isolated_workers(&self) -> HashSet<WorkerKey> {
        let suspects = self.suspects.iter();
        let isolated =
            suspects.filter(|(_, history)| history.startup_crashes() >= ISOLATED_CRASHES);
        let workers = isolated.flat_map(|(task, history)| {
            let starting = self.starting_runs(*task).map(|run| run.worker);
            starting.chain(history.planned_worker)
        });
        workers.collect()
    }

    /// Whether a suspect is starting on a worker.
    #[must_use]
    pub fn has_starting_suspect(&self, key: WorkerKey) -> bool {
        let mut suspects = self.suspects.iter();
        suspects
            .any(|(task, history)| history.startup_crashes() > 0 && self.is_starting_on(*task, key))
    }

    fn is_starting_on(&self, task: TaskName, key: WorkerKey) -> bool {
        self.starting_runs(task).any(|run| run.worker == key)
    }

    /// Number of runs on a worker that are starting and whose tasks have at least `crashes` startup
    /// crashes.
    fn count_startups(&self, key: WorkerKey, crashes: usize) -> usize {
        let Some(entry) = self.workers.get(key) else {
            return 0;
        };
        let starting = entry.runs.keys().filter(|(task, run)| {
            let mut runs = self.starting_runs(*task);
            runs.any(|entry| entry.run == *run && entry.worker == key)
                && self.startup_crashes(*task) >= crashes
        });
        starting.count()
    }

    /// Starts suspects on workers on which few or no other tasks are starting. Returns whether any of
    /// them starts alone, or is about to, so that its worker takes no other tasks.
    pub(super) fn place_suspects(
        &mut self,
        step: &WaitingStep,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &[WorkerKey],
        now: TimePoint,
    ) -> bool {
        let mut is_any_alone = false;
        let mut workers = workers.to_vec();
        let groups: Vec<Vec<u16>> = if spec.is_gang {
            vec![step.indexes.clone()]
        } else {
            step.indexes.iter().map(|&index| vec![index]).collect()
        };
        for group in groups {
            let tasks: Vec<TaskName> = group.iter().map(|&index| step.name.task(index)).collect();
            let crashes = tasks.iter().map(|task| self.startup_crashes(*task));
            let is_alone = crashes.max().unwrap_or(0) >= ISOLATED_CRASHES;
            let others = self.other_workers(tasks[0], &workers);
            let candidates = self.trial_workers(step.name, spec, &tasks, &others);
            let quiet: Vec<WorkerKey> = candidates
                .iter()
                .copied()
                .filter(|&key| self.is_quiet(key, is_alone))
                .collect();
            let is_placed = if spec.is_gang {
                self.place_suspect_gang(step, spec, team, (&quiet, is_alone), now)
            } else {
                self.place_suspect(tasks[0], spec, team, &quiet, now)
            };
            if is_placed && is_alone {
                is_any_alone = true;
                let isolated = self.isolated_workers();
                workers.retain(|key| !isolated.contains(key));
            } else if !is_placed && (is_alone || spec.is_lasting) {
                // The other half is left to other tasks.
                for &task in tasks.iter().take(candidates.len().div_ceil(2)) {
                    self.reserve_worker(task, spec, team, &candidates, now);
                }
                workers.retain(|&key| !self.reservations.contains(key));
            }
        }
        is_any_alone
    }

    /// Starts a suspect on the worker that was planned, once that is stored, or plans a start on one
    /// of `workers`. Returns false if there is no room.
    fn place_suspect(
        &mut self,
        task: TaskName,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &[WorkerKey],
        now: TimePoint,
    ) -> bool {
        let history = self.suspects.get_mut(&task);
        let planned = history.and_then(|history| history.planned_worker.take());
        if let Some(key) = planned {
            self.release_plan(key);
            let is_alone = self.startup_crashes(task) >= ISOLATED_CRASHES;
            return self.accepts_suspect(key, is_alone, now)
                && self.place_task(task, spec, team, &[key], now);
        }
        let is_allowed = self.is_within_limit(team, spec.amount);
        let mut workers = workers.iter().copied();
        let key = workers.find(|&key| {
            let chosen = self.select_worker(task.step, spec, &[key], now);
            is_allowed && chosen.is_some()
        });
        let Some(key) = key else {
            return false;
        };
        self.plan_start(task, key);
        if spec.is_lasting {
            self.hold_worker(task, key, now);
        }
        true
    }

    /// Whether few enough tasks are starting on a worker, or are about to, for a suspect to start there.
    pub(super) fn is_quiet(&self, key: WorkerKey, is_alone: bool) -> bool {
        if is_alone {
            return self.count_startups(key, 0) == 0;
        }
        let limit = self.suspect_limits.get(&self.workers[key].report.pool);
        let limit = limit.map_or(SUSPECTS_PER_WORKER, |limit| {
            (*limit).max(SUSPECTS_PER_WORKER)
        });
        let planned = self.planned_starts.get(&key).copied().unwrap_or(0);
        planned < PLANNED_TURNS * limit && self.count_startups(key, 1) < limit
    }

    /// Returns the workers on which suspects may start, the emptiest first. Avoids the instances
    /// whose crashes implicated them, unless there are no others.
    fn trial_workers(
        &self,
        step: StepName,
        spec: &StepSpec,
        tasks: &[TaskName],
        workers: &[WorkerKey],
    ) -> Vec<WorkerKey> {
        let suitable = workers.iter().copied().filter(|&key| {
            let capacity = self.workers[key].report.capacity;
            self.is_suitable(step, spec, key) && spec.worker_amount().fits(capacity)
        });
        let (mut crashed, mut others): (Vec<WorkerKey>, Vec<WorkerKey>) =
            suitable.partition(|&key| self.has_crashed_under(key, tasks));
        let trial = if others.is_empty() {
            &mut crashed
        } else {
            &mut others
        };
        trial.sort_by_key(|&key| std::cmp::Reverse(self.workers[key].room().cpu_millis));
        std::mem::take(trial)
    }

    /// Whether the worker or an earlier one on its instance has crashed under one of the tasks.
    fn has_crashed_under(&self, key: WorkerKey, tasks: &[TaskName]) -> bool {
        let report = &self.workers[key].report;
        let histories = tasks.iter().filter_map(|task| self.suspects.get(task));
        let mut crashes = histories.flat_map(|history| &history.crashes);
        crashes.any(|crash| {
            let is_same_instance = crash.instance.is_some() && crash.instance == report.instance;
            crash.worker == report.name || is_same_instance
        })
    }
}
