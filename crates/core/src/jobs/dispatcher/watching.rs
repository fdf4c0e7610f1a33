//! What happens to runs over time: stops that are repeated, leases that pass, tasks that stand
//! still, and the pace of fillers.

use super::JobDispatcher;
use crate::jobs::pace_control::pace_percent;
use crate::jobs::run_entry::RunState;
use crate::jobs::{TaskName, WorkerKey, WorkerOrder};
use crate::time::TimePoint;

impl JobDispatcher {
    /// Returns the orders that are due now.
    pub fn plan(&mut self, now: TimePoint, unix_ms: u64) -> Vec<WorkerOrder> {
        self.open_due(unix_ms);
        self.pass_leases(now);
        self.move_stalled(now);
        self.relocate(now);
        self.repeat_stops(now);
        self.set_paces(now);
        self.place(now);
        self.forget_ended();
        self.forget_tickets();
        std::mem::take(&mut self.orders)
    }

    /// Creates the tasks of occurrences that are due.
    fn open_due(&mut self, unix_ms: u64) {
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

    /// Releases the runs of workers whose last lease has passed: the workers have ended them.
    fn pass_leases(&mut self, now: TimePoint) {
        let passed = self.workers.iter().filter(|(_, entry)| {
            entry.lease_end < now && (!entry.runs.is_empty() || !entry.is_listed)
        });
        let passed: Vec<WorkerKey> = passed.map(|(key, _)| key).collect();
        for key in passed {
            self.release_all(key);
            let entry = &self.workers[key];
            if !entry.is_listed {
                let name = entry.report.name.clone();
                self.names.remove(&name);
                self.workers.remove(key);
            }
        }
    }

    /// Stops tasks without progress, and leaves their workers out.
    fn move_stalled(&mut self, now: TimePoint) {
        let mut stalled: Vec<(WorkerKey, TaskName, u64)> = Vec::new();
        for (key, entry) in &self.workers {
            // Without fresh lists, standing still cannot be told from silence.
            let is_fresh = entry
                .list_requested
                .is_some_and(|held| now.since(held) < self.policy.stall_floor);
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
            let health = &mut self.workers[key].health;
            if !health.is_quarantined(now) {
                health.quarantine(now, quarantine_time);
            }
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
            // At work or starting up.
            let limit = self.policy.stall_floor.mul_f64(self.policy.stall_factor);
            return entry.percent < 100.0 && now.since(entry.progressed) > limit;
        }
        now.since(entry.progressed) > self.policy.stall_floor
    }

    fn repeat_stops(&mut self, now: TimePoint) {
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

    /// Slows fillers beside serving tasks whose tail nears its target.
    fn set_paces(&mut self, now: TimePoint) {
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
                let wanted = pace_percent(pace, load);
                if wanted != pace && now.since(paced) >= self.policy.min_pace_interval {
                    changes.push((key, name, number, wanted));
                }
            }
        }
        for (key, name, number, wanted) in changes {
            if let Some(run) = self.run_mut(name, number, key) {
                run.pace = wanted;
                run.paced = now;
            }
            let order = WorkerOrder::Pace(key, name, number, wanted);
            self.orders.push(order);
        }
    }
}
