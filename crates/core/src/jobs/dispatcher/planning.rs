//! The periodic planning round: expires leases, stops stalled tasks, resends stop orders, adjusts
//! the pace of fillers and starts waiting tasks.

use std::time::Duration;

use super::JobDispatcher;
use crate::jobs::job_entry::JobEntry;
use crate::jobs::pace_control::pace_percent;
use crate::jobs::run_entry::{RunEntry, RunState};
use crate::jobs::{LossReason, StepName, TaskName, WorkerKey, WorkerOrder};
use crate::time::TimePoint;

impl JobDispatcher {
    /// Runs a planning round and returns the orders to send.
    pub fn plan(&mut self, now: TimePoint, unix_ms: u64) -> Vec<WorkerOrder> {
        self.take_up_late_jobs(now);
        self.open_due_occurrences(unix_ms);
        self.expire_leases(now);
        self.expire_unread_runs(now);
        self.abandon_tasks(now);
        self.stop_stalled(now);
        self.relocate(now);
        self.resend_stops(now);
        self.adjust_paces(now);
        self.update_inherited_use(now);
        self.plan_overload(now);
        self.place_waiting(now);
        self.remove_ended_jobs();
        self.drop_stale_tickets();
        std::mem::take(&mut self.orders)
    }

    /// Creates the tasks of the scheduled occurrences that are due.
    fn open_due_occurrences(&mut self, unix_ms: u64) {
        let early = u64::try_from(self.policy.early_start.as_millis()).unwrap_or(0);
        for job in self.jobs.values_mut() {
            job.open_due(unix_ms.saturating_add(early));
        }
    }

    /// Releases the runs of workers whose lease has expired, since a worker ends its runs when the
    /// lease expires. Removes such workers if they are not listed. Runs that may outlast the lease are
    /// kept.
    fn expire_leases(&mut self, now: TimePoint) {
        let expired = self.workers.iter().filter(|(_, entry)| {
            entry.lease_end < now && (!entry.runs.is_empty() || !entry.is_listed)
        });
        let expired = expired.map(|(key, _)| key);
        let expired: Vec<WorkerKey> = expired
            .filter(|key| self.has_expired_run(*key, now))
            .collect();
        for key in expired {
            let limit = self.late_run_limit(key);
            if self.workers[key].is_unreachable() {
                self.implicate_runs(key, true);
            }
            let has_ended = |run: &RunEntry| !limit.includes(run, now);
            self.lose_runs(key, LossReason::Expired, has_ended, now);
            let entry = &self.workers[key];
            if !entry.is_listed && entry.runs.is_empty() {
                self.remove_worker(key);
            }
        }
    }

    /// Stops tasks that make no progress and quarantines their workers.
    fn stop_stalled(&mut self, now: TimePoint) {
        let mut stalled: Vec<(WorkerKey, TaskName, u64)> = Vec::new();
        let mut checked: Vec<(WorkerKey, TimePoint)> = Vec::new();
        for (key, entry) in &self.workers {
            // Without a recent list, a stalled task cannot be told from an unresponsive worker.
            let is_fresh = entry
                .list_requested
                .is_some_and(|requested| now.since(requested) < self.policy.stall_floor);
            if !is_fresh || now <= entry.stall_check {
                continue;
            }
            // Runs that begin or make progress from now on do not stall before this.
            let mut next_check = now.after(self.startup_limit().min(self.policy.stall_floor));
            for &(name, run) in entry.runs.keys() {
                let Some(stall) = self.stall_time(key, name, run) else {
                    continue;
                };
                if now > stall {
                    stalled.push((key, name, run));
                } else {
                    next_check = next_check.min(stall);
                }
            }
            checked.push((key, next_check));
        }
        for (key, next_check) in checked {
            self.workers[key].stall_check = next_check;
        }
        let quarantine_time = self.policy.quarantine_time;
        for (key, name, run) in stalled {
            if let Some(entry) = self.run_mut(name, run, key)
                && entry.request_stop()
            {
                self.stopping_jobs.insert(name.step.job);
            }
            self.workers[key].health.quarantine(now, quarantine_time);
        }
    }

    /// Time that a long-running task may take to start up.
    fn startup_limit(&self) -> Duration {
        self.policy.stall_floor.mul_f64(self.policy.stall_factor)
    }

    /// Time after which a run counts as stalled if it makes no progress; none if it does not yet run,
    /// or cannot stall.
    fn stall_time(&self, key: WorkerKey, name: TaskName, run: u64) -> Option<TimePoint> {
        let entry = self.run(name, run, key)?;
        if entry.state != RunState::Running || entry.pace < 100 {
            return None;
        }
        let spec = self.step_spec(name)?;
        if spec.is_filler || spec.is_gang {
            return None;
        }
        if spec.is_lasting {
            // Below 100 %, a long-running task is still starting up.
            let limit = self.startup_limit();
            return (entry.percent < 100.0).then(|| entry.progressed.after(limit));
        }
        Some(entry.progressed.after(self.policy.stall_floor))
    }

    fn resend_stops(&mut self, now: TimePoint) {
        let mut due = Vec::new();
        let repeat = self.policy.stop_repeat;
        let jobs = &mut self.jobs;
        self.stopping_jobs.retain(|id| {
            let job = jobs.get_mut(id);
            job.is_some_and(|job| job_stops(job, repeat, now, &mut due))
        });
        self.orders.extend(due);
    }

    /// Adjusts the pace of fillers to the serving tasks on their worker: fillers slow down when a
    /// tail latency nears its target.
    fn adjust_paces(&mut self, now: TimePoint) {
        let mut changes = Vec::new();
        let with_fillers = self.workers.iter().filter(|(_, entry)| entry.fillers > 0);
        for (key, entry) in with_fillers {
            let mut load: f64 = 0.0;
            let mut fillers = Vec::new();
            for &(name, number) in entry.runs.keys() {
                let Some(task) = self.task(name) else {
                    continue;
                };
                let mut runs = task.runs.iter();
                let Some(run) = runs.find(|run| run.run == number && run.worker == key) else {
                    continue;
                };
                let job = &self.jobs[&name.step.job];
                let spec = &job.order.steps[usize::from(name.step.step)];
                if let (Some(target), Some(tail)) = (spec.target_latency, run.gauge) {
                    load = load.max(tail / (target.as_secs_f64() * 1_000.0).max(1.0));
                }
                if spec.is_filler && run.state == RunState::Running {
                    fillers.push((name, number, run.pace, run.paced));
                }
            }
            for (name, number, pace, paced) in fillers {
                let target_pace = pace_percent(pace, load);
                if target_pace != pace && now.since(paced) >= self.policy.min_pace_interval {
                    changes.push((key, name, number, target_pace));
                }
            }
        }
        for (key, name, number, target_pace) in changes {
            if let Some(run) = self.run_mut(name, number, key) {
                run.pace = target_pace;
                run.paced = now;
            }
            let order = WorkerOrder::Pace(key, name, number, target_pace);
            self.orders.push(order);
        }
    }
}

/// Adds the stop orders of a job that are due, and returns whether the job has runs to stop.
fn job_stops(
    job: &mut JobEntry,
    repeat: Duration,
    now: TimePoint,
    due: &mut Vec<WorkerOrder>,
) -> bool {
    let mut is_stopping = false;
    for occurrence in &mut job.occurrences {
        for (entry, step) in occurrence.steps.iter_mut().zip(0..) {
            for (task, index) in entry.tasks.iter_mut().zip(0..) {
                for run in &mut task.runs {
                    let RunState::Stopping { sent, .. } = &mut run.state else {
                        continue;
                    };
                    is_stopping = true;
                    if sent.is_some_and(|sent| now.since(sent) < repeat) {
                        continue;
                    }
                    *sent = Some(now);
                    let step = StepName {
                        job: job.id,
                        occurrence: occurrence.number,
                        step,
                    };
                    due.push(WorkerOrder::Stop(run.worker, step.task(index), run.run));
                }
            }
        }
    }
    is_stopping
}
