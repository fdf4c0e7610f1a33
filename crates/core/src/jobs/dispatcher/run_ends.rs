//! Processing of run ends that workers report.

use super::JobDispatcher;
use crate::jobs::{EndKind, JobPhase, RunEnd, TaskName, WorkerKey};
use crate::time::TimePoint;

impl JobDispatcher {
    pub(super) fn note_end(&mut self, key: WorkerKey, end: &RunEnd, now: TimePoint) {
        let entry = &mut self.workers[key];
        entry.processed_end = entry.processed_end.max(end.number);
        entry
            .unstored_ends
            .push_back((end.number, end.task.step.job));
        if end.kind == EndKind::Done {
            self.record_run_time(key, end, now);
        }
        self.release(end.task, end.run, key);
        let Some(task) = self.task_mut(end.task) else {
            return;
        };
        task.last_run = task.last_run.max(end.run);
        self.note_progress(end.task, &end.saved);
        self.mark_begun(end.task.step.job);
        match end.kind {
            EndKind::Done if self.is_long_running(end.task) => {
                self.clear_suspect(end.task);
                self.workers[key].health.record_success();
                self.delay_restart(end.task, now);
            }
            EndKind::Done => {
                self.clear_suspect(end.task);
                self.note_done(key, end.task);
            }
            EndKind::Failed => {
                self.clear_suspect(end.task);
                self.note_failed(key, end, now);
            }
            EndKind::Lapsed | EndKind::Broken | EndKind::Alone | EndKind::Stopped => {}
        }
    }

    /// Updates the estimate ratio of the pool and the run times of the step with a finished run.
    ///
    /// Runs that resumed from saved progress do not count, since they are shorter.
    fn record_run_time(&mut self, key: WorkerKey, end: &RunEnd, now: TimePoint) {
        let Some(run) = self.run_mut(end.task, end.run, key) else {
            return;
        };
        let actual = now.since(run.since);
        let job = &self.jobs[&end.task.step.job];
        let spec = &job.order.steps[usize::from(end.task.step.step)];
        let is_full_run = self
            .task(end.task)
            .is_some_and(|task| task.saved.is_empty());
        if spec.is_lasting || spec.is_gang || !is_full_run {
            return;
        }
        let (cpu, declared) = (spec.worker_amount().cpu_millis, spec.estimate);
        let pool = self.workers[key].report.pool.clone();
        let ratio = self.estimate_ratios.entry(pool).or_default();
        ratio.record(cpu, actual, declared);
        let name = end.task.step;
        let job = self.jobs.get_mut(&name.job);
        if let Some(step) = job.and_then(|job| job.step_mut(name.occurrence, name.step)) {
            step.run_times.push(actual);
        }
    }

    fn note_done(&mut self, key: WorkerKey, name: TaskName) {
        self.workers[key].health.record_success();
        let Some(job) = self.jobs.get_mut(&name.step.job) else {
            return;
        };
        let number = usize::from(name.step.step);
        let is_gang = job.order.steps[number].is_gang;
        let Some(step) = job.step_mut(name.step.occurrence, name.step.step) else {
            return;
        };
        let mut is_stopping = false;
        for (index, task) in step.tasks.iter_mut().enumerate() {
            let is_affected = is_gang || index == usize::from(name.index);
            if !is_affected || task.is_done {
                continue;
            }
            task.is_done = true;
            step.remaining -= 1;
            for run in &mut task.runs {
                // The other members of a gang end on their own.
                if !is_gang {
                    is_stopping |= run.request_stop();
                }
            }
        }
        if !job.phase.is_final() && job.is_done() {
            job.phase = JobPhase::Finished;
        }
        let has_ended = job.phase.is_final();
        if is_stopping {
            self.stopping_jobs.insert(name.step.job);
        }
        self.dirty.insert(name.step.job, has_ended);
    }

    fn note_failed(&mut self, key: WorkerKey, end: &RunEnd, now: TimePoint) {
        let (limit, quarantine_time) = (self.policy.failure_limit, self.policy.quarantine_time);
        let health = &mut self.workers[key].health;
        if health.record_failure(end.task.step.job, limit) {
            health.quarantine(now, quarantine_time);
        }
        let id = end.task.step.job;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let spec = &job.order.steps[usize::from(end.task.step.step)];
        if spec.is_lasting {
            self.delay_restart(end.task, now);
            return;
        }
        let is_gang = spec.is_gang;
        let rule = self.rules.queues.get(&job.order.queue);
        let attempts = rule.map_or(u32::MAX, |rule| rule.attempts);
        let is_final = job.phase.is_final();
        let counted_task = if is_gang {
            end.task.step.task(0)
        } else {
            end.task
        };
        let Some(task) = self.task_mut(counted_task) else {
            return;
        };
        if task.is_done || task.failed_runs.contains(&end.run) {
            return;
        }
        task.failed_runs.push(end.run);
        let failures = u32::try_from(task.failed_runs.len()).unwrap_or(u32::MAX);
        self.dirty.insert(id, is_final);
        if failures >= attempts && !is_final {
            self.end_job(id, JobPhase::Failed);
        }
    }

    /// Delays the next start of a long-running task, so that one that keeps failing is not
    /// restarted in a tight loop.
    pub(super) fn delay_restart(&mut self, name: TaskName, now: TimePoint) {
        let pause = self.policy.restart_pause;
        let is_long_running = self.is_long_running(name);
        if let Some(task) = self.task_mut(name)
            && is_long_running
        {
            task.not_before = now.after(pause);
        }
    }
}
