use super::{AttemptOutcome, JobKey, JobScheduler, PoolIndex, WorkerIndex};
use crate::exchange::{AgedPoint, LeavingRecord};
use crate::ids::InstanceName;
use crate::queue::TimerEvent;
use crate::time::TimePoint;
use std::time::Duration;

/// Time after which a worker reported as leaving is used again if it is still there.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of leaving workers in one message.
const MAX_LEAVING_RECORDS: usize = 100;

/// Time for which messages to peers list a leaving worker.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(15);

impl JobScheduler {
    /// Returns the workers that failed several distinct jobs here and take only trial jobs. The
    /// controller can quarantine them within the pool's availability budget.
    #[must_use]
    pub fn quarantine_suggestions(&self, now: TimePoint) -> Vec<InstanceName> {
        self.fleet
            .order
            .iter()
            .map(|worker| &self.fleet.workers[worker.at()])
            .filter(|record| {
                // A released worker stays in service until its trial fails.
                record.active && record.health.quarantined && !record.health.is_trial_due(now)
            })
            .map(|record| record.name.clone())
            .collect()
    }

    /// Returns the quarantined workers whose next trial is due. After the controller releases them,
    /// each entry instance sends them one trial job.
    #[must_use]
    pub fn release_suggestions(&self, now: TimePoint) -> Vec<InstanceName> {
        let workers = self.fleet.order.iter();
        workers
            .map(|worker| &self.fleet.workers[worker.at()])
            .filter(|record| record.quarantined && record.health.is_trial_due(now))
            .map(|record| record.name.clone())
            .collect()
    }

    /// Records an outcome in the health record of the worker and in the job.
    pub(super) fn record_health(
        &mut self,
        worker: WorkerIndex,
        job: JobKey,
        outcome: AttemptOutcome,
        now: TimePoint,
    ) {
        let health = &mut self.fleet.workers[worker.at()].health;
        match outcome {
            AttemptOutcome::Stopped | AttemptOutcome::Draining | AttemptOutcome::NotSent => return,
            AttemptOutcome::Answered => {
                if health.record_success() {
                    self.refresh_worker(worker, now);
                }
                return;
            }
            _ => {}
        }
        let good = health.has_good_record();
        let enough = health.record_failure(job);
        if outcome == AttemptOutcome::Failed
            && good
            && let Some(record) = self.jobs.get_mut(job)
            && !record.failed_on.contains(&worker)
        {
            record.failed_on.push(worker);
        }
        let record = &self.fleet.workers[worker.at()];
        if record.health.quarantined || enough && self.has_budget(record.pool) {
            let at = self.fleet.workers[worker.at()].health.quarantine(now);
            self.timers.add(at, TimerEvent::Trial(worker));
            self.refresh_worker(worker, now);
        }
    }

    /// Retracts the failures counted against all workers for a job that can never run.
    pub(super) fn retract_failures(&mut self, job: JobKey, last: WorkerIndex, now: TimePoint) {
        let mut tried = self.jobs[job].tried.clone();
        tried.push(last);
        for worker in tried {
            if self.fleet.workers[worker.at()].health.retract_failure(job) {
                self.refresh_worker(worker, now);
            }
        }
    }

    /// Marks a worker as leaving unless a newer report is known.
    pub(super) fn set_leaving(&mut self, worker: WorkerIndex, since: AgedPoint, now: TimePoint) {
        if since.age(now) >= LEAVING_TIMEOUT {
            return;
        }
        let record = &mut self.fleet.workers[worker.at()];
        if record
            .leaving
            .is_none_or(|known| known.age(now) > since.age(now))
        {
            record.leaving = Some(since);
            let at = now.after(LEAVING_TIMEOUT.saturating_sub(since.age(now)));
            self.timers.add(at, TimerEvent::Trial(worker));
            self.refresh_worker(worker, now);
        }
    }

    pub(super) fn mark_worker_leaving(&mut self, worker: WorkerIndex, now: TimePoint) {
        self.set_leaving(worker, AgedPoint::new(Duration::ZERO, now), now);
    }

    /// Clears an expired leaving mark, so that the worker is used again.
    pub(super) fn expire_leaving(&mut self, worker: WorkerIndex, now: TimePoint) {
        let record = &mut self.fleet.workers[worker.at()];
        if record
            .leaving
            .is_some_and(|since| since.age(now) >= LEAVING_TIMEOUT)
        {
            record.leaving = None;
        }
        self.refresh_worker(worker, now);
    }

    /// Returns the leaving workers to list in a message.
    pub(super) fn leaving_records(&self, now: TimePoint) -> Vec<LeavingRecord> {
        self.fleet
            .order
            .iter()
            .map(|worker| &self.fleet.workers[worker.at()])
            .filter_map(|record| {
                let age = record.leaving?.age(now);
                (age < LEAVING_REPORT_TIME).then(|| LeavingRecord {
                    worker: record.name.clone(),
                    age,
                })
            })
            .take(MAX_LEAVING_RECORDS)
            .collect()
    }

    fn has_budget(&self, pool: PoolIndex) -> bool {
        let entry = &self.fleet.pools[pool.at()];
        let out = entry
            .workers
            .iter()
            .map(|worker| &self.fleet.workers[worker.at()])
            .filter(|record| !record.active || record.health.quarantined)
            .count();
        out < entry.max_unavailable as usize
    }
}
