//! The periodic planning round: expires leases, stops stalled tasks, resends stop orders, adjusts
//! the pace of fillers and starts waiting tasks.

use super::JobDispatcher;
use crate::jobs::pace_control::pace_percent;
use crate::jobs::run_entry::RunState;
use crate::jobs::{LossReason, TaskName, WorkerKey, WorkerOrder};
use crate::time::TimePoint;

impl JobDispatcher {
    /// Runs a planning round and returns the orders to send.
    pub fn plan(&mut self, now: TimePoint, unix_ms: u64) -> Vec<WorkerOrder> {
        self.open_due_occurrences(unix_ms);
        self.expire_leases(now);
        self.abandon_tasks(now);
        self.stop_stalled(now);
        self.relocate(now);
        self.resend_stops(now);
        self.adjust_paces(now);
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
            let Some(schedule) = job.order.schedule else {
                continue;
            };
            while job.next_occurrence < schedule.count
                && schedule.due_ms(job.next_occurrence) <= unix_ms.saturating_add(early)
            {
                job.open_occurrence();
            }
        }
    }

    /// Releases the runs of workers whose lease has expired, since a worker ends its runs when the
    /// lease expires. Removes such workers if they are not listed.
    fn expire_leases(&mut self, now: TimePoint) {
        let expired = self.workers.iter().filter(|(_, entry)| {
            entry.lease_end < now && (!entry.runs.is_empty() || !entry.is_listed)
        });
        let expired: Vec<WorkerKey> = expired.map(|(key, _)| key).collect();
        for key in expired {
            if self.workers[key].is_unreachable() {
                self.implicate_runs(key, true);
            }
            self.lose_runs(key, LossReason::Expired, |_| true, now);
            let entry = &self.workers[key];
            if !entry.is_listed {
                self.remove_worker(key);
            }
        }
    }

    /// Stops tasks that make no progress and quarantines their workers.
    fn stop_stalled(&mut self, now: TimePoint) {
        let mut stalled: Vec<(WorkerKey, TaskName, u64)> = Vec::new();
        for (key, entry) in &self.workers {
            // Without a recent list, a stalled task cannot be told from an unresponsive worker.
            let is_fresh = entry
                .list_requested
                .is_some_and(|requested| now.since(requested) < self.policy.stall_floor);
            if !is_fresh {
                continue;
            }
            for &(name, run) in entry.runs.keys() {
                if self.is_stalled(key, name, run, now) {
                    stalled.push((key, name, run));
                }
            }
        }
        let quarantine_time = self.policy.quarantine_time;
        for (key, name, run) in stalled {
            if let Some(entry) = self.run_mut(name, run, key) {
                entry.request_stop();
            }
            self.workers[key].health.quarantine(now, quarantine_time);
        }
    }

    fn is_stalled(&self, key: WorkerKey, name: TaskName, run: u64, now: TimePoint) -> bool {
        let Some(task) = self.task(name) else {
            return false;
        };
        let mut runs = task.runs.iter();
        let entry = runs.find(|entry| entry.run == run && entry.worker == key);
        let Some(entry) = entry else {
            return false;
        };
        if entry.state != RunState::Running || entry.pace < 100 {
            return false;
        }
        let job = &self.jobs[&name.step.job];
        let spec = &job.order.steps[usize::from(name.step.step)];
        if spec.is_filler || spec.is_gang {
            return false;
        }
        if spec.is_lasting {
            // Below 100 %, a long-running task is still starting up.
            let limit = self.policy.stall_floor.mul_f64(self.policy.stall_factor);
            return entry.percent < 100.0 && now.since(entry.progressed) > limit;
        }
        now.since(entry.progressed) > self.policy.stall_floor
    }

    fn resend_stops(&mut self, now: TimePoint) {
        let mut due = Vec::new();
        let repeat = self.policy.stop_repeat;
        for job in self.jobs.values_mut() {
            let id = job.id;
            for occurrence in &mut job.occurrences {
                for (step, entry) in occurrence.steps.iter_mut().enumerate() {
                    for (index, task) in entry.tasks.iter_mut().enumerate() {
                        for run in &mut task.runs {
                            let RunState::Stopping { sent, .. } = &mut run.state else {
                                continue;
                            };
                            if sent.is_some_and(|sent| now.since(sent) < repeat) {
                                continue;
                            }
                            *sent = Some(now);
                            let step = crate::jobs::StepName {
                                job: id,
                                occurrence: occurrence.number,
                                step: u16::try_from(step).unwrap_or(u16::MAX),
                            };
                            let name = step.task(u16::try_from(index).unwrap_or(u16::MAX));
                            due.push(WorkerOrder::Stop(run.worker, name, run.run));
                        }
                    }
                }
            }
        }
        self.orders.extend(due);
    }

    /// Adjusts the pace of fillers to the serving tasks on their worker: fillers slow down when a
    /// tail latency nears its target.
    fn adjust_paces(&mut self, now: TimePoint) {
        let mut changes = Vec::new();
        for (key, entry) in &self.workers {
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
