//! Processing of hold reports, in which workers list their running and ended runs.

use std::time::Duration;

use super::JobDispatcher;
use crate::jobs::run_entry::{RunEntry, RunState};
use crate::jobs::{HoldReport, LossReason, RunReport, TaskName, WorkerKey, WorkerOrder};
use crate::time::TimePoint;

/// Maximum number of run ends in one report. A report with this many may be cut short; the next one
/// follows once these ends are acknowledged. Meanwhile nothing starts on the worker, so that it runs out
/// of ends.
const MAX_LISTED_ENDS: usize = 500;

/// Time for which a long-running task has to run to prove that its worker is sound. A task that a
/// worker fails ends sooner.
const PROVEN_TIME: Duration = Duration::from_secs(5);

impl JobDispatcher {
    /// Extends the recorded lease of a worker to `lease` from now, plus an allowance for clock
    /// drift. Must be called before the call that extends the lease is sent.
    ///
    /// `clock_age` is the time since the worker's clock was read, from which the end of the lease on
    /// that clock was computed. The clock may have fallen behind since.
    pub fn note_extension(
        &mut self,
        key: WorkerKey,
        lease: Duration,
        clock_age: Duration,
        now: TimePoint,
    ) {
        let lease = self.policy.longest_lease(lease, clock_age);
        let longest = self.policy.longest_grant();
        let carried_out = now.after(self.policy.call_time);
        if let Some(entry) = self.workers.get_mut(key) {
            entry.extend_lease(now.after(lease), carried_out.after(longest));
        }
    }

    /// Extends the recorded lease of a worker to the longest one that it grants from now on. Until it
    /// sees a higher fence number, a worker that was started again takes the end of a lease on the
    /// clock of its former life, and shortens that to the longest lease.
    pub(super) fn extend_to_longest(&mut self, key: WorkerKey, now: TimePoint) {
        let lease_end = now.after(self.policy.longest_grant());
        if let Some(entry) = self.workers.get_mut(key) {
            entry.extend_lease(lease_end, lease_end);
        }
    }

    /// Marks a worker that did not answer a hold call. It gets no new tasks until it answers one.
    pub fn note_unresponsive(&mut self, key: WorkerKey) {
        if let Some(entry) = self.workers.get_mut(key) {
            entry.is_unresponsive = true;
            self.implicate_runs(key, false);
        }
    }

    /// Processes the hold report of a worker, the answer to a call by its current link.
    ///
    /// Returns whether the worker was started again, so that calls to it must be set up again. Such a
    /// report only shows the restart: until the new link is answered, calls to the former life of the
    /// worker may still have an effect.
    pub fn note_hold(&mut self, key: WorkerKey, report: &HoldReport, now: TimePoint) -> bool {
        let Some(entry) = self.workers.get_mut(key) else {
            return false;
        };
        if entry.boot.is_some_and(|boot| boot != report.boot) {
            self.reset_worker(key, report.boot, now);
            self.renew_link(key);
            let entry = &mut self.workers[key];
            entry.set_boot(report.boot);
            // The worker is about to write its new entry.
            entry.entry_limit = now.after(self.policy.max_capacity_age);
            return true;
        }
        if entry.list_requested.is_none() {
            self.extend_to_longest(key, now);
        }
        let entry = &mut self.workers[key];
        entry.last_answer = now;
        let was_silent = entry.is_unresponsive || entry.list_requested.is_none();
        if was_silent {
            let name = entry.report.name.clone();
            self.retract_crash(&name, report.boot);
        }
        let entry = &mut self.workers[key];
        entry.set_boot(report.boot);
        entry.is_unresponsive = false;
        entry.list_requested = entry.list_requested.max(Some(report.sent));
        entry.list_received = Some(now);
        let processed_end = entry.processed_end;
        self.open_listed(report);
        for end in report.ended.iter().filter(|end| end.number > processed_end) {
            self.note_end(key, end, now);
        }
        self.workers[key].has_unknown_runs = false;
        for run in &report.running {
            self.note_running(key, run, now);
        }
        let is_cut = report.ended.len() >= MAX_LISTED_ENDS;
        let entry = &mut self.workers[key];
        entry.is_list_cut = is_cut;
        entry.is_list_whole |= !is_cut;
        if !is_cut {
            self.resolve_absent_runs(key, report, now);
        }
        false
    }

    /// Creates the occurrences of the tasks that a report lists. A previous owner has started these
    /// tasks, before this owner has planned for the first time or by a clock that is ahead.
    fn open_listed(&mut self, report: &HoldReport) {
        for task in report.tasks() {
            self.open_occurrence_of(task);
        }
    }

    pub(super) fn open_occurrence_of(&mut self, task: TaskName) {
        if let Some(job) = self.jobs.get_mut(&task.step.job) {
            job.open_through(task.step.occurrence);
        }
    }

    fn note_running(&mut self, key: WorkerKey, report: &RunReport, now: TimePoint) {
        let boot = self.workers[key].boot;
        let Some(task) = self.task_mut(report.task) else {
            // The job has ended, or the dispatcher has never had it.
            let stop = WorkerOrder::Stop(key, report.task, report.run);
            self.orders.push(stop);
            self.workers[key].has_unknown_runs = true;
            return;
        };
        task.is_settled = true;
        let is_known = |entry: &RunEntry| entry.run == report.run && entry.worker == key;
        if !task.runs.iter().any(is_known) {
            self.adopt(key, report, now);
        }
        self.note_progress(report.task, &report.saved);
        self.mark_begun(report.task.step.job);
        let Some(run) = self.run_mut(report.task, report.run, key) else {
            return;
        };
        let is_new = matches!(run.state, RunState::Ordered | RunState::Unconfirmed { .. });
        if is_new || run.is_revocation_open() {
            run.is_revoked = false;
            run.state = RunState::Running;
            run.since = now;
            run.progressed = now;
        }
        if (run.percent - report.percent).abs() > f64::EPSILON {
            run.percent = report.percent;
            run.progressed = now;
        }
        run.gauge = report.gauge;
        run.is_confirmed = true;
        run.listed_boot = boot;
        let before = std::mem::replace(&mut run.run_time, now.since(run.since));
        let run_time = run.run_time;
        if !run.is_starting() {
            self.note_run_time(report.task, run_time);
        }
        let is_reached = before < PROVEN_TIME && run_time >= PROVEN_TIME;
        if is_reached && report.percent >= 100.0 && self.is_long_running(report.task) {
            self.workers[key].health.record_progress();
        }
    }

    /// Adopts a run that a previous owner started.
    pub(super) fn adopt(&mut self, key: WorkerKey, report: &RunReport, now: TimePoint) {
        let is_ended = self.jobs[&report.task.step.job].phase.is_final();
        let is_redundant = self.task(report.task).is_some_and(|task| {
            let has_other = !task.runs.is_empty();
            task.is_done || has_other
        });
        let link = self.workers[key].link;
        let mut run = RunEntry::new(key, report.run, link, now);
        run.state = RunState::Running;
        let is_unwanted = is_ended || (is_redundant && !self.allows_copies(report));
        if is_unwanted && run.request_stop() {
            self.stopping_jobs.insert(report.task.step.job);
        }
        if let Some(task) = self.task_mut(report.task) {
            task.last_run = task.last_run.max(report.run);
            task.runs.push(run);
        }
        self.allocate(report.task, report.run, key);
        self.note_adopted(report.task);
    }

    /// Resolves runs that the report does not list.
    ///
    /// A run is released if its start or stop was confirmed before the report was requested, or if it
    /// was ordered by an earlier link and so cannot begin any more. If the start had no answer before
    /// the request, the run is stopped.
    fn resolve_absent_runs(&mut self, key: WorkerKey, report: &HoldReport, now: TimePoint) {
        let link = self.workers[key].link;
        let runs: Vec<_> = self.workers[key].runs.keys().copied().collect();
        for (task, run) in runs {
            let mut listed = report.running.iter();
            if listed.any(|entry| entry.task == task && entry.run == run) {
                continue;
            }
            let Some(entry) = self.run_mut(task, run, key) else {
                continue;
            };
            let is_stopped = entry.is_stopping();
            let mut is_revoked = false;
            let is_gone = match entry.state {
                _ if entry.link < link => true,
                RunState::Ordered => false,
                RunState::Running => entry.since < report.sent,
                RunState::Unconfirmed { since } => {
                    if since < report.sent {
                        is_revoked = entry.revoke();
                    }
                    false
                }
                RunState::Stopping { confirmed, .. } => {
                    confirmed.is_some_and(|confirmed| confirmed < report.sent)
                }
            };
            if is_revoked {
                self.stopping_jobs.insert(task.step.job);
            }
            if is_gone {
                if !is_stopped {
                    self.note_loss(task, run, key, (LossReason::Absent, 1), now);
                }
                self.release(task, run, key);
                self.delay_restart(task, now);
            }
        }
    }

    fn allows_copies(&self, report: &RunReport) -> bool {
        self.step_spec(report.task)
            .is_some_and(|spec| spec.allows_copies)
    }
}
