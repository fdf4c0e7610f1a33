//! Bookkeeping of runs and the resources that they use. A run whose start has no answer counts too.

use super::JobDispatcher;
use crate::jobs::job_entry::JobEntry;
use crate::jobs::run_entry::{RunEntry, RunState};
use crate::jobs::task_entry::TaskEntry;
use crate::jobs::{
    HealthRecord, JobId, JobPhase, LossReason, LostRun, StartOutcome, StepSpec, TaskName, WorkerKey,
};
use crate::time::TimePoint;

impl JobDispatcher {
    /// Allocates the resources of a run on its worker and for its team.
    pub(super) fn allocate(&mut self, task: TaskName, run: u64, key: WorkerKey) {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return;
        };
        let spec = &job.order.steps[usize::from(task.step.step)];
        let entry = &mut self.workers[key];
        if entry.runs.insert((task, run), ()).is_some() {
            return;
        }
        entry.used += spec.worker_amount();
        entry.fillers += usize::from(spec.is_filler);
        if let Some(team) = &job.order.team {
            *self.team_usage.entry(team.clone()).or_default() += spec.amount;
        }
    }

    /// Removes a run that has ended or will never start, and frees its resources.
    pub(super) fn release(&mut self, task: TaskName, run: u64, key: WorkerKey) {
        let Some(entry) = self.workers.get_mut(key) else {
            return;
        };
        if entry.runs.remove(&(task, run)).is_none() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let spec = &job.order.steps[usize::from(task.step.step)];
        entry.used -= spec.worker_amount();
        entry.fillers = entry.fillers.saturating_sub(usize::from(spec.is_filler));
        if let Some(team) = &job.order.team
            && let Some(usage) = self.team_usage.get_mut(team)
        {
            *usage -= spec.amount;
        }
        if let Some(task) = task_mut(job, task) {
            task.runs
                .retain(|entry| entry.run != run || entry.worker != key);
        }
    }

    /// Returns the specification of a task's step, or `None` if the dispatcher no longer has the
    /// job.
    pub(super) fn step_spec(&self, name: TaskName) -> Option<&StepSpec> {
        let job = self.jobs.get(&name.step.job)?;
        job.order.steps.get(usize::from(name.step.step))
    }

    pub(super) fn task(&self, name: TaskName) -> Option<&TaskEntry> {
        let job = self.jobs.get(&name.step.job)?;
        let step = job.step(name.step.occurrence, name.step.step)?;
        step.tasks.get(usize::from(name.index))
    }

    pub(super) fn task_mut(&mut self, name: TaskName) -> Option<&mut TaskEntry> {
        task_mut(self.jobs.get_mut(&name.step.job)?, name)
    }

    pub(super) fn run(&self, name: TaskName, run: u64, key: WorkerKey) -> Option<&RunEntry> {
        let mut runs = self.task(name)?.runs.iter();
        runs.find(|entry| entry.run == run && entry.worker == key)
    }

    pub(super) fn run_mut(
        &mut self,
        name: TaskName,
        run: u64,
        key: WorkerKey,
    ) -> Option<&mut RunEntry> {
        let task = self.task_mut(name)?;
        let mut runs = task.runs.iter_mut();
        runs.find(|entry| entry.run == run && entry.worker == key)
    }

    /// Processes the outcome of a start order.
    pub fn note_start(
        &mut self,
        key: WorkerKey,
        task: TaskName,
        run: u64,
        outcome: StartOutcome,
        now: TimePoint,
    ) {
        let quarantine_time = self.policy.quarantine_time;
        let may_be_started = matches!(outcome, StartOutcome::Started | StartOutcome::Unknown);
        if may_be_started && self.is_superseded(task, run, key) {
            // The new life of the worker may have carried out the order just now.
            self.extend_to_longest(key, now);
        }
        let ordered = self.run(task, run, key).map(|run| run.since);
        if let Some(entry) = self.workers.get_mut(key) {
            entry.note_start(outcome, ordered, now);
        }
        match outcome {
            StartOutcome::Started => {
                self.mark_begun(task.step.job);
                if let Some(entry) = self.run_mut(task, run, key)
                    && entry.state == RunState::Ordered
                {
                    entry.is_confirmed = true;
                    entry.state = RunState::Running;
                    entry.since = now;
                    entry.progressed = now;
                }
            }
            StartOutcome::Fenced | StartOutcome::Refused => self.undo_refused(task, run, key),
            StartOutcome::TicketRefused => {
                self.undo_refused(task, run, key);
                if let Some(cache) = self.tickets.get_mut(&task.step) {
                    cache.forget(key);
                }
            }
            StartOutcome::Unavailable => {
                self.undo_refused(task, run, key);
                if let Some(worker) = self.workers.get_mut(key) {
                    worker.health.quarantine(now, quarantine_time);
                }
            }
            StartOutcome::Unknown => {
                if let Some(entry) = self.run_mut(task, run, key) {
                    entry.given_up = Some(now);
                    if entry.state == RunState::Ordered {
                        entry.state = RunState::Unconfirmed { since: now };
                    }
                }
            }
        }
    }

    /// Whether a run was ordered by an earlier link to its worker.
    fn is_superseded(&self, task: TaskName, run: u64, key: WorkerKey) -> bool {
        let link = self.workers.get(key).map(|entry| entry.link);
        self.run(task, run, key)
            .is_some_and(|run| Some(run.link) < link)
    }

    /// Releases a run that a worker has refused. The start of a suspect was stored as a crash.
    fn undo_refused(&mut self, task: TaskName, run: u64, key: WorkerKey) {
        self.release(task, run, key);
        if self.suspects.contains_key(&task) {
            self.dirty.insert(task.step.job, false);
        }
    }

    /// Marks a job as running, because a worker has begun one of its tasks.
    pub(super) fn mark_begun(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id)
            && job.phase == JobPhase::Queued
        {
            job.phase = JobPhase::Running;
            self.dirty.insert(id, false);
        }
    }

    /// Marks a stop order as confirmed. A stop order without an answer is sent again later.
    pub fn note_stop(&mut self, key: WorkerKey, task: TaskName, run: u64, now: TimePoint) {
        if let Some(entry) = self.run_mut(task, run, key)
            && let RunState::Stopping { confirmed, .. } = &mut entry.state
        {
            confirmed.get_or_insert(now);
        }
    }

    /// Resets the state of a worker that was restarted as `boot`, and releases the runs that a list
    /// of an earlier boot has shown. Whether the others exist is known from the next lists, as the
    /// new boot may have received their orders. Calls to the earlier boot may also have granted it the
    /// longest lease.
    pub(super) fn reset_worker(&mut self, key: WorkerKey, boot: u64, now: TimePoint) {
        self.implicate_runs(key, true);
        self.confirm_end(key);
        let ended = |run: &RunEntry| run.listed_boot.is_some_and(|listed| listed != boot);
        self.lose_runs(key, LossReason::Restarted, ended, now);
        self.extend_to_longest(key, now);
        let entry = &mut self.workers[key];
        entry.forget_boot();
        entry.list_requested = None;
        entry.is_list_whole = false;
        entry.is_list_cut = false;
        entry.list_received = None;
        entry.is_evacuating = false;
        entry.has_unknown_runs = false;
        entry.health = HealthRecord::default();
        self.tickets
            .values_mut()
            .for_each(|cache| cache.forget(key));
        let entry = &mut self.workers[key];
        entry.processed_end = 0;
        entry.stored_end = 0;
        entry.unstored_ends.clear();
    }

    /// Releases the runs of a worker that have ended without a report, which are those for which
    /// `has_ended` is true.
    pub(super) fn lose_runs(
        &mut self,
        key: WorkerKey,
        reason: LossReason,
        has_ended: impl Fn(&RunEntry) -> bool,
        now: TimePoint,
    ) {
        let mut runs: Vec<_> = self.workers[key].runs.keys().copied().collect();
        runs.retain(|&(task, run)| self.run(task, run, key).is_none_or(&has_ended));
        for &(task, run) in &runs {
            self.note_loss(task, run, key, (reason, runs.len()), now);
            self.release(task, run, key);
        }
    }

    pub(super) fn note_loss(
        &mut self,
        task: TaskName,
        run: u64,
        key: WorkerKey,
        (reason, lost_together): (LossReason, usize),
        now: TimePoint,
    ) {
        let worker = &self.workers[key];
        let Some(entry) = self.run(task, run, key) else {
            return;
        };
        let lost = LostRun {
            task,
            run,
            worker: worker.report.name.clone(),
            reason,
            boot: worker.boot,
            was_listed: entry.listed_boot.is_some(),
            age: now.since(entry.since),
            lost_together,
        };
        self.lost_runs.push(lost);
    }
}

pub(super) fn task_mut(job: &mut JobEntry, name: TaskName) -> Option<&mut TaskEntry> {
    let step = job.step_mut(name.step.occurrence, name.step.step)?;
    step.tasks.get_mut(usize::from(name.index))
}
