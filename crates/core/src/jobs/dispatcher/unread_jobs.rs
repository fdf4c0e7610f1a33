//! Runs and ends of jobs that a new owner has not read yet, because their partition of the store
//! does not answer.
//!
//! Such a run may be of an open job, so it is neither stopped nor given up. The job, and so the
//! resources and the team of the run, are unknown: its worker gets no new tasks, and teams keep room
//! for it within their limits. Its end is kept until the job is read, and not acknowledged before.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::JobDispatcher;
use crate::ids::TeamName;
use crate::jobs::worker_entry::WorkerEntry;
use crate::jobs::{
    FleetRules, HoldReport, JobId, ResourceAmount, RunEnd, RunReport, TaskName, UnreadPartitions,
    WorkerKey, WorkerOrder,
};
use crate::time::TimePoint;

/// State of the jobs that have not been read.
#[derive(Debug, Default)]
pub(super) struct UnreadJobs {
    partitions: UnreadPartitions,
    /// Ends of runs of these jobs, with the workers that reported them.
    ends: Vec<(WorkerKey, RunEnd)>,
    /// Resources of the runs that this owner has adopted, by team. The previous owner allocated them
    /// at the same time as the runs of the jobs that have not been read.
    adopted: HashMap<TeamName, ResourceAmount>,
    /// Rules at the takeover, which the previous owner observed.
    inherited_rules: Arc<FleetRules>,
    /// Upper bound of what the listed runs of these jobs use; `None` if there are none.
    use_bound: Option<ResourceAmount>,
}

/// Numbers of ends and runs that were kept until their job was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KeptCounts {
    /// Ends.
    pub ends: usize,
    /// Runs of the newest lists.
    pub runs: usize,
    /// Those of either kind whose task is not known. Such ends are dropped, and such runs stopped.
    pub unknown: usize,
}

impl JobDispatcher {
    /// Starts with the jobs of some partitions missing. Until [`Self::note_partition_read`], runs of
    /// their jobs are left alone.
    #[must_use]
    pub fn with_unread_partitions(mut self, partitions: UnreadPartitions) -> Self {
        self.unread.inherited_rules = Arc::clone(&self.rules);
        self.unread.partitions = partitions;
        self
    }

    /// Number of partitions whose jobs are missing.
    #[must_use]
    pub fn unread_partitions(&self) -> usize {
        self.unread.partitions.count()
    }

    /// Number of listed runs whose jobs are missing.
    #[must_use]
    pub fn unread_runs(&self) -> usize {
        let workers = self.workers.values();
        workers.map(|entry| entry.unread_runs.len()).sum()
    }

    /// Whether the job may be missing because its partition has not been read, or because it was
    /// accepted only lately.
    pub(super) fn is_unread(&self, job: JobId) -> bool {
        let may_be_missing = self.unread.partitions.contains(job) || self.late_jobs.may_arrive(job);
        may_be_missing && !self.jobs.contains_key(&job)
    }

    /// Whether an end of the job is kept until the job is read.
    pub(super) fn has_kept_end(&self, job: JobId) -> bool {
        let mut kept = self.unread.ends.iter();
        kept.any(|(_, end)| end.task.step.job == job)
    }

    /// Drops the kept ends of jobs that do not exist.
    pub(super) fn drop_kept_ends(&mut self) {
        let kept = std::mem::take(&mut self.unread.ends).into_iter();
        let kept = kept.filter(|(_, end)| {
            let job = end.task.step.job;
            self.is_unread(job) || self.jobs.contains_key(&job)
        });
        self.unread.ends = kept.collect();
    }

    /// Processes the hold report of a worker as [`Self::note_hold`] does, and keeps what it says
    /// about jobs that have not been read.
    pub fn note_report(&mut self, key: WorkerKey, report: &HoldReport, now: TimePoint) -> bool {
        self.note_late_jobs(report, now);
        let had_runs = self.unread_tasks(key).next().is_some();
        let has_unread = self.unread.partitions.count() > 0
            || had_runs
            || report.tasks().any(|task| self.is_unread(task.step.job));
        if !has_unread || !self.workers.contains_key(key) {
            return self.note_hold(key, report, now);
        }
        let runs = report.running.iter().cloned();
        let (unread, running): (Vec<_>, Vec<_>) =
            runs.partition(|run| self.is_unread(run.task.step.job));
        let known = HoldReport {
            running,
            ended: report.ended.clone(),
            ..*report
        };
        let processed_end = self.processed_end(key);
        let is_restarted = self.note_hold(key, &known, now);
        if is_restarted {
            // The report only shows the restart, with which these runs have ended.
            self.workers[key].unread_runs.clear();
            return true;
        }
        let has_runs = !unread.is_empty();
        self.workers[key].unread_runs = unread;
        for end in report.ended.iter().filter(|end| end.number > processed_end) {
            if self.is_unread(end.task.step.job) {
                self.unread.ends.push((key, end.clone()));
            }
        }
        if had_runs || has_runs {
            self.update_use_bound();
        }
        false
    }

    /// Records the resources of a run that this owner adopts.
    pub(super) fn note_adopted(&mut self, task: TaskName) {
        let team = self.jobs.get(&task.step.job);
        let team = team.and_then(|job| job.order.team.clone());
        let amount = self.step_spec(task).map(|spec| spec.amount);
        if let (Some(team), Some(amount)) = (team, amount) {
            *self.unread.adopted.entry(team).or_default() += amount;
        }
    }

    /// Ends the special treatment of a partition whose jobs have been added. Adopts their listed runs
    /// and processes their ends. Returns how many there were.
    pub fn note_partition_read(&mut self, number: u16, now: TimePoint) -> KeptCounts {
        if !self.unread.partitions.remove(number) {
            return KeptCounts::default();
        }
        let kept = self.unread.ends.iter().map(|(_, end)| end.task);
        let listed = self.workers.keys().flat_map(|key| self.unread_tasks(key));
        let jobs = kept.chain(listed).map(|task| task.step.job);
        let read: HashSet<JobId> = jobs.filter(|job| !self.is_unread(*job)).collect();
        self.take_up(|job| read.contains(&job), now)
    }

    /// Adopts the listed runs and processes the ends of the jobs for which `is_read` is true.
    pub(super) fn take_up(
        &mut self,
        is_read: impl Fn(JobId) -> bool,
        now: TimePoint,
    ) -> KeptCounts {
        let (ends, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unread.ends)
            .into_iter()
            .partition(|(_, end)| is_read(end.task.step.job));
        self.unread.ends = kept;
        let mut runs = Vec::new();
        for (key, entry) in &mut self.workers {
            let (read, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut entry.unread_runs)
                .into_iter()
                .partition(|run| is_read(run.task.step.job));
            entry.unread_runs = kept;
            runs.extend(read.into_iter().map(|run| (key, run)));
        }
        let ended = ends.iter().map(|(_, end)| end.task);
        let listed: Vec<TaskName> = runs.iter().map(|(_, run)| run.task).chain(ended).collect();
        let mut counts = KeptCounts {
            ends: ends.len(),
            runs: runs.len(),
            unknown: 0,
        };
        for task in listed {
            self.open_occurrence_of(task);
            counts.unknown += usize::from(self.task(task).is_none());
        }
        for (key, end) in ends {
            self.process_kept_end(key, &end, now);
        }
        for (key, run) in runs {
            self.adopt_listed(key, &run, now);
        }
        self.update_use_bound();
        counts
    }

    /// Processes an end that was reported before its job was read.
    fn process_kept_end(&mut self, key: WorkerKey, end: &RunEnd, now: TimePoint) {
        // An end of a worker that is gone is lost, as if the worker had not reported it.
        let Some(entry) = self.workers.get(key) else {
            return;
        };
        let processed_end = entry.processed_end;
        self.note_end(key, end, now);
        // The number counts from the start of the worker, which may be a later one by now, and the
        // end has been in the list of unstored ends since it was reported.
        let entry = &mut self.workers[key];
        entry.processed_end = processed_end;
        entry.unstored_ends.pop_back();
    }

    /// Adopts a run that the newest list of its worker shows.
    fn adopt_listed(&mut self, key: WorkerKey, report: &RunReport, now: TimePoint) {
        let boot = self.workers[key].boot;
        if self.task(report.task).is_none() {
            // The job has ended.
            let stop = WorkerOrder::Stop(key, report.task, report.run);
            self.orders.push(stop);
            self.workers[key].has_unknown_runs = true;
            return;
        }
        self.adopt(key, report, now);
        if let Some(run) = self.run_mut(report.task, report.run, key) {
            run.is_confirmed = true;
            run.listed_boot = boot;
        }
        if let Some(task) = self.task_mut(report.task) {
            task.is_settled = true;
        }
        self.note_progress(report.task, &report.saved);
        self.mark_begun(report.task.step.job);
    }

    /// Forgets the unread runs of workers whose lease has expired, since a worker ends its runs then.
    pub(super) fn expire_unread_runs(&mut self, now: TimePoint) {
        if self.unread.use_bound.is_none() {
            return;
        }
        for entry in self.workers.values_mut() {
            if entry.lease_end < now {
                entry.unread_runs.clear();
            }
        }
        self.update_use_bound();
    }

    /// Tasks of jobs that have not been read and that a worker runs.
    pub(super) fn unread_tasks(&self, key: WorkerKey) -> impl Iterator<Item = TaskName> {
        let entry = self.workers.get(key);
        let runs = entry.map_or(&[][..], |entry| &entry.unread_runs);
        runs.iter().map(|run| run.task)
    }

    fn update_use_bound(&mut self) {
        let busy = self.workers.values();
        let busy = busy.filter(|entry| !entry.unread_runs.is_empty());
        let rooms = busy.map(WorkerEntry::room);
        self.unread.use_bound = rooms.reduce(|mut sum, room| {
            sum += room;
            sum
        });
    }

    /// Upper bound of what a team uses for runs of jobs that have not been read.
    ///
    /// All these runs use at most the room that is left on their workers. The previous owner kept the
    /// limit of its time for them and the adopted runs together, so those of the team use at most what
    /// the adopted ones leave of it.
    pub(super) fn unread_use(&self, team: &TeamName) -> ResourceAmount {
        let bound = self.unread.use_bound;
        bound.map_or_else(ResourceAmount::default, |bound| {
            self.left_of_limit(team, bound)
        })
    }

    /// The part of `bound` that a team may use beside its adopted runs, under the limit of the previous
    /// owner.
    pub(super) fn left_of_limit(&self, team: &TeamName, bound: ResourceAmount) -> ResourceAmount {
        let adopted = self.unread.adopted.get(team).copied().unwrap_or_default();
        let rule = self.unread.inherited_rules.teams.get(team);
        let limit = rule.map(|rule| rule.limit).unwrap_or_default();
        let left = |limit: u64, adopted: u64, bound: u64| match limit {
            0 => bound,
            _ => bound.min(limit.saturating_sub(adopted)),
        };
        ResourceAmount {
            cpu_millis: left(limit.cpu_millis, adopted.cpu_millis, bound.cpu_millis),
            memory_mb: left(limit.memory_mb, adopted.memory_mb, bound.memory_mb),
            accelerators: left(limit.accelerators, adopted.accelerators, bound.accelerators),
        }
    }
}
