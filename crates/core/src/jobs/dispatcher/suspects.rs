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
use crate::ids::InstanceName;
use crate::jobs::crash_history::{CrashHistory, TaskCrashes, WorkerCrash};
use crate::jobs::run_entry::RunEntry;
use crate::jobs::{JobId, JobRecord, StepName, TaskName, WorkerKey};

/// Time for which a task has to run before earlier crashes are forgotten.
const SETTLED_TIME: Duration = Duration::from_secs(2);

/// Maximum number of tasks of a job whose crashes are stored. Keeps the record below the limit of
/// the store.
const MAX_STORED_SUSPECTS: usize = 128;

impl JobDispatcher {
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
        let starting = self.starting_runs(task);
        for run in starting.filter(|run| self.is_of_current_life(run)) {
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

    /// Marks the crashes and planned starts that a stored record contains as stored. If it lacks any,
    /// since a worker was started again meanwhile, the record is stored once more.
    pub(super) fn note_stored_crashes(&mut self, id: JobId, record: &JobRecord) {
        let is_truncated = record.crashes.len() >= MAX_STORED_SUSPECTS;
        let is_covered = |task: &TaskName, history: &CrashHistory| {
            let presumed = self.presumed_crashes(*task, history);
            let mut stored = record.crashes.iter();
            is_truncated || stored.any(|entry| entry.task == *task && entry.contains(&presumed))
        };
        let (covered, others): (Vec<_>, Vec<_>) = self
            .histories(id)
            .partition(|(task, history)| is_covered(task, history));
        let has_others = !others.is_empty();
        let covered: Vec<TaskName> = covered.into_iter().map(|(task, _)| *task).collect();
        for task in covered {
            if let Some(history) = self.suspects.get_mut(&task) {
                history.is_stored = true;
            }
        }
        if has_others && !record.phase.is_final() {
            self.dirty.insert(id, false);
        }
    }

    /// Runs of a task that are starting.
    pub(super) fn starting_runs(&self, task: TaskName) -> impl Iterator<Item = &RunEntry> {
        let runs = self.task(task).map_or(&[][..], |task| &task.runs);
        runs.iter().filter(|run| run.is_starting())
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
    /// with it. Only runs that had just been started count before they are lost. Runs that were ordered
    /// from the former life of the worker have been implicated when that ended.
    pub(super) fn implicate_runs(&mut self, key: WorkerKey, is_lost: bool) {
        let runs: Vec<_> = self.workers[key].runs.keys().copied().collect();
        let is_draining = self.workers[key].is_draining();
        for (task, run) in runs {
            let run = self.run(task, run, key);
            let Some(entry) = run.filter(|run| self.is_of_current_life(run)) else {
                continue;
            };
            let (is_startup, is_confirmed) = (entry.is_starting(), entry.is_confirmed);
            let is_recent = entry.run_time < SETTLED_TIME;
            if is_startup || (is_lost && is_recent && !is_draining) {
                self.implicate(task, key, is_startup, is_confirmed);
            }
        }
    }

    /// Whether a run was ordered from the current life of its worker or has been listed by it.
    fn is_of_current_life(&self, run: &RunEntry) -> bool {
        let worker = &self.workers[run.worker];
        run.link >= worker.link || (run.listed_boot.is_some() && run.listed_boot == worker.boot)
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
