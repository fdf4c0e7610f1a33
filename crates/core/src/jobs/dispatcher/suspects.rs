//! Tasks that may crash the workers that start them.
//!
//! A crash implicates all runs of the worker that were not seen to run for a moment. A
//! suspect starts again after its crashes and the worker of its next start are stored, so that a
//! new owner knows them, and away from other suspects. After a second crash it is the only task
//! that starts on its worker, so that further ones prove it to be the cause. A healthy task is
//! cleared as soon as it has run for that time.

use std::ops::RangeBounds;
use std::time::Duration;

use super::JobDispatcher;
use super::waiting_steps::WaitingStep;
use crate::ids::{InstanceName, TeamName};
use crate::jobs::crash_history::{CrashHistory, TaskCrashes, WorkerCrash};
use crate::jobs::run_entry::RunEntry;
use crate::jobs::{JobId, JobPhase, JobRecord, StepName, StepSpec, TaskName, WorkerKey};
use crate::time::TimePoint;

/// Time for which a task has to run before earlier crashes are forgotten.
const SETTLED_TIME: Duration = Duration::from_secs(2);

/// Number of startup crashes from which a task starts alone on its worker.
const ISOLATED_CRASHES: usize = 2;

/// Maximum number of suspects that start on a worker at the same time.
const MAX_SUSPECTS_PER_WORKER: usize = 2;

/// Maximum number of tasks of a job whose crashes are stored. Keeps the record below the limit of
/// the store.
const MAX_STORED_SUSPECTS: usize = 128;

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

    /// Number of tasks that are implicated in crashes.
    #[must_use]
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Number of workers that crashed while the task started.
    pub(super) fn startup_crashes(&self, task: TaskName) -> usize {
        let history = self.suspects.get(&task);
        history.map_or(0, CrashHistory::startup_crashes)
    }

    /// Whether the crashes under a task are stored and leave it another start.
    pub(super) fn may_start_again(&self, task: TaskName) -> bool {
        let history = self.suspects.get(&task);
        history.is_none_or(|history| history.is_stored && !history.is_exhausted())
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

    /// Loads the stored crashes of a job.
    pub(super) fn load_crashes(&mut self, id: JobId, crashes: &[TaskCrashes]) {
        for entry in crashes.iter().filter(|entry| entry.task.step.job == id) {
            let history = CrashHistory {
                crashes: entry.crashes.clone(),
                is_stored: true,
                is_reported: false,
                planned_worker: None,
            };
            self.suspects.insert(entry.task, history);
        }
    }

    /// Returns the record of a job with the crashes under its tasks.
    ///
    /// A start of a suspect that is under way is stored as a crash. The next owner retracts it when
    /// the worker answers.
    pub(super) fn record(&self, id: JobId) -> Option<JobRecord> {
        let job = self.jobs.get(&id)?;
        let mut record = job.record();
        if !job.phase.is_final() {
            let tasks = self.histories(id);
            let crashes = tasks.map(|(task, history)| self.presumed_crashes(*task, history));
            record.crashes = crashes.collect();
            record
                .crashes
                .sort_by_key(|entry| std::cmp::Reverse(entry.crashes.len()));
            record.crashes.truncate(MAX_STORED_SUSPECTS);
        }
        Some(record)
    }

    /// Returns the crashes under a task, with one for each start that is planned or under way.
    fn presumed_crashes(&self, task: TaskName, history: &CrashHistory) -> TaskCrashes {
        let mut presumed = history.clone();
        for run in self.starting_runs(task) {
            presumed.add(WorkerCrash {
                is_run_confirmed: run.is_confirmed,
                ..self.crash_of(run.worker)
            });
        }
        if let Some(key) = history
            .planned_worker
            .filter(|key| self.workers.contains_key(*key))
        {
            presumed.add(self.crash_of(key));
        }
        TaskCrashes {
            task,
            crashes: presumed.crashes,
        }
    }

    /// Marks the crashes and planned starts that a stored record contains as stored.
    pub(super) fn note_stored_crashes(&mut self, id: JobId, record: &JobRecord) {
        let is_truncated = record.crashes.len() >= MAX_STORED_SUSPECTS;
        let tasks = self.histories(id).filter(|(task, history)| {
            let presumed = self.presumed_crashes(**task, history);
            let mut stored = record.crashes.iter();
            is_truncated || stored.any(|entry| entry.task == **task && entry.contains(&presumed))
        });
        let tasks: Vec<TaskName> = tasks.map(|(task, _)| *task).collect();
        for task in tasks {
            if let Some(history) = self.suspects.get_mut(&task) {
                history.is_stored = true;
            }
        }
    }

    /// Forgets the crashes under the tasks of a job.
    pub(super) fn forget_crashes(&mut self, id: JobId) {
        let tasks: Vec<TaskName> = self.histories(id).map(|(task, _)| *task).collect();
        for task in tasks {
            self.suspects.remove(&task);
        }
    }

    fn histories(&self, id: JobId) -> impl Iterator<Item = (&TaskName, &CrashHistory)> {
        let (from, to) = task_range(id);
        self.suspects.range(from..=to)
    }

    /// Implicates the runs of a worker that does not answer or, if `is_lost` is true, that were lost
    /// with it. Only runs that had just been started count before they are lost.
    pub(super) fn implicate_runs(&mut self, key: WorkerKey, is_lost: bool) {
        let runs: Vec<_> = self.workers[key].runs.keys().copied().collect();
        let is_draining = self.workers[key].is_draining();
        for (task, run) in runs {
            let Some(entry) = self.run_mut(task, run, key) else {
                continue;
            };
            let (is_startup, is_confirmed) = (entry.is_starting(), entry.is_confirmed);
            let is_recent = entry.run_time < SETTLED_TIME;
            if is_startup || (is_lost && is_recent && !is_draining) {
                self.implicate(task, key, is_startup, is_confirmed);
            }
        }
    }

    fn implicate(
        &mut self,
        task: TaskName,
        key: WorkerKey,
        is_startup: bool,
        is_run_confirmed: bool,
    ) {
        let is_open = self
            .jobs
            .get(&task.step.job)
            .is_some_and(|job| !job.phase.is_final());
        if !is_open {
            return;
        }
        let crash = WorkerCrash {
            is_startup,
            is_run_confirmed,
            ..self.crash_of(key)
        };
        let history = self.suspects.entry(task).or_default();
        history.add(crash);
        if !history.is_stored {
            self.dirty.insert(task.step.job, false);
        }
    }

    fn crash_of(&self, key: WorkerKey) -> WorkerCrash {
        let entry = &self.workers[key];
        WorkerCrash {
            worker: entry.report.name.clone(),
            boot: entry.boot.unwrap_or(entry.report.boot),
            instance: entry.report.instance.clone(),
            is_startup: true,
            is_run_confirmed: false,
            is_end_confirmed: false,
        }
    }

    /// Clears the tasks that were implicated in a crash of a worker that answers with the same boot
    /// and so has not crashed.
    pub(super) fn retract_crash(&mut self, worker: &InstanceName, boot: u64) {
        self.retain_crashes(.., |crash| crash.worker != *worker || crash.boot != boot);
    }

    /// Records that the workers for which `has_ended` is true have ended.
    pub(super) fn confirm_crashes(&mut self, has_ended: impl Fn(&WorkerCrash) -> bool) {
        for (task, history) in &mut self.suspects {
            if history.confirm_ends(&has_ended) {
                self.dirty.insert(task.step.job, false);
            }
        }
    }

    /// Clears a task that has started and run for `time`.
    pub(super) fn note_run_time(&mut self, task: TaskName, time: Duration) {
        if time >= SETTLED_TIME {
            self.clear_suspect(task);
        } else {
            self.retain_crashes(task..=task, |crash| !crash.is_startup);
        }
    }

    /// Forgets the crashes under a task that has run on a worker without crashing it.
    pub(super) fn clear_suspect(&mut self, task: TaskName) {
        self.retain_crashes(task..=task, |_| false);
    }

    /// Keeps the crashes under `tasks` for which `is_kept` is true.
    fn retain_crashes(
        &mut self,
        tasks: impl RangeBounds<TaskName>,
        is_kept: impl Fn(&WorkerCrash) -> bool,
    ) {
        let mut cleared = Vec::new();
        for (name, history) in self.suspects.range_mut(tasks) {
            if history.retain(&is_kept) {
                self.dirty.insert(name.step.job, false);
            }
            if history.crashes.is_empty() {
                cleared.push(*name);
            }
        }
        for name in cleared {
            self.suspects.remove(&name);
        }
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
                entry.list_requested.is_none() && now <= entry.lease_end
            }
            None => now <= self.inherited_lease_end,
        };
        !task.runs.is_empty() || (!task.is_settled && history.crashes.iter().any(is_open))
    }

    /// Whether a task that must start alone is starting on a worker, or is about to.
    pub(super) fn is_isolated(&self, key: WorkerKey) -> bool {
        let mut suspects = self.suspects.values();
        let is_planned = suspects.any(|history| {
            history.planned_worker == Some(key) && history.startup_crashes() >= ISOLATED_CRASHES
        });
        is_planned || (!self.suspects.is_empty() && self.count_startups(key, ISOLATED_CRASHES) > 0)
    }

    /// Whether a suspect is starting on a worker.
    #[must_use]
    pub fn has_starting_suspect(&self, key: WorkerKey) -> bool {
        !self.suspects.is_empty() && self.count_startups(key, 1) > 0
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

    /// Starts suspects on workers on which few or no other tasks are starting.
    pub(super) fn place_suspects(
        &mut self,
        step: &WaitingStep,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &mut Vec<WorkerKey>,
        now: TimePoint,
    ) {
        let groups: Vec<Vec<u16>> = if spec.is_gang {
            vec![step.indexes.clone()]
        } else {
            step.indexes.iter().map(|&index| vec![index]).collect()
        };
        for group in groups {
            let tasks: Vec<TaskName> = group.iter().map(|&index| step.name.task(index)).collect();
            let crashes = tasks.iter().map(|task| self.startup_crashes(*task));
            let is_alone = crashes.max().unwrap_or(0) >= ISOLATED_CRASHES;
            let others = self.other_workers(tasks[0], workers);
            let candidates = self.trial_workers(step.name, spec, &tasks, &others);
            let quiet: Vec<WorkerKey> = candidates
                .iter()
                .copied()
                .filter(|&key| self.is_quiet(key, is_alone))
                .collect();
            let is_placed = if spec.is_gang {
                self.place_gang(step, spec, team, &quiet, now)
            } else {
                self.place_suspect(tasks[0], spec, team, &quiet, now)
            };
            if is_placed {
                workers.retain(|&key| !self.is_isolated(key));
            } else if is_alone && self.is_within_limit(team, spec.amount) {
                let reserved = if spec.is_gang {
                    candidates.len().div_ceil(2)
                } else {
                    1
                };
                let reserved = &candidates[..reserved.min(candidates.len())];
                workers.retain(|key| !reserved.contains(key));
            }
        }
    }

    /// Runs of a task that are starting.
    fn starting_runs(&self, task: TaskName) -> impl Iterator<Item = &RunEntry> {
        let runs = self.task(task).map_or(&[][..], |task| &task.runs);
        runs.iter().filter(|run| run.is_starting())
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
            let is_alone = self.startup_crashes(task) >= ISOLATED_CRASHES;
            let is_usable = self
                .workers
                .get(key)
                .is_some_and(|entry| entry.is_usable(now));
            return is_usable
                && self.is_quiet(key, is_alone)
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
        if let Some(history) = self.suspects.get_mut(&task) {
            history.planned_worker = Some(key);
            history.is_stored = false;
        }
        self.dirty.insert(task.step.job, false);
        true
    }

    /// Whether few enough tasks are starting on a worker for a suspect to start there.
    fn is_quiet(&self, key: WorkerKey, is_alone: bool) -> bool {
        if is_alone {
            return self.count_startups(key, 0) == 0;
        }
        self.count_startups(key, 1) < MAX_SUSPECTS_PER_WORKER
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

/// First and last possible task of a job.
const fn task_range(job: JobId) -> (TaskName, TaskName) {
    let first = StepName {
        job,
        occurrence: 0,
        step: 0,
    };
    let last = StepName {
        job,
        occurrence: u32::MAX,
        step: u16::MAX,
    };
    (first.task(0), last.task(u16::MAX))
}
