//! Evacuation of availability zones: nothing more starts on the workers of a zone until the operator
//! withdraws the request. Attempts that run there continue.

use super::fleet_update::UpdateScope;
use super::{JobKey, JobScheduler, PoolIndex, WorkerIndex};
use crate::queue::TimerEvent;
use crate::time::TimePoint;

impl JobScheduler {
    /// Updates whether the zone of a worker is evacuated.
    ///
    /// The worker keeps its units and its attempts, which do not conflict with the generation: a
    /// request settles although long tasks run in the zone.
    pub(super) fn update_evacuation(
        &mut self,
        worker: WorkerIndex,
        is_evacuated: bool,
        scope: &mut UpdateScope,
        now: TimePoint,
    ) {
        let record = &mut self.fleet.workers[worker.at()];
        if record.zone_evacuated == is_evacuated {
            return;
        }
        record.zone_evacuated = is_evacuated;
        if !is_evacuated {
            // A worker of the zone may have been restarted meanwhile, so that an earlier report
            // that it leaves must not keep it unused. If it still leaves, it says so again.
            record.leaving = None;
        }
        scope.pools.insert(record.pool);
        self.refresh_worker(worker, now);
    }

    /// Keeps a job that fits only on workers in evacuated zones out of the order of its queue, where
    /// it would hold up smaller jobs of its team. Returns whether it is such a job.
    pub(super) fn park(&mut self, key: JobKey) -> bool {
        let job = &self.jobs[key];
        let flow = &mut self.flows[job.flow.at()];
        if !self.fleet.pools[flow.pool.at()].fits_only_evacuated(job.requirements) {
            return false;
        }
        flow.parked.push_back(key, &mut self.jobs);
        flow.parked_jobs += 1;
        self.jobs[key].parked = true;
        true
    }

    /// Removes a job from those that wait outside the order of their queue.
    pub(super) fn unpark(&mut self, key: JobKey) {
        let flow = self.jobs[key].flow;
        let flow = &mut self.flows[flow.at()];
        flow.parked.remove(key, &mut self.jobs);
        flow.parked_jobs -= 1;
    }

    /// Parks and returns the queued jobs of a pool after a change of its workers. Returned jobs come
    /// first, since they have waited longest.
    pub(super) fn sort_waiting(&mut self, pool: PoolIndex, now: TimePoint) {
        let entry = &self.fleet.pools[pool.at()];
        let is_parked = |flow: super::FlowIndex| self.flows[flow.at()].parked_jobs > 0;
        if !entry.has_evacuated_shapes() && !entry.flows.iter().flatten().copied().any(is_parked) {
            return;
        }
        let mut moved: Vec<(TimePoint, JobKey)> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.queued
                    && self.flows[job.flow.at()].pool == pool
                    && job.parked != entry.fits_only_evacuated(job.requirements)
            })
            .map(|(key, job)| (job.submitted, key))
            .collect();
        moved.sort_unstable();
        for (submitted, key) in moved.into_iter().rev() {
            self.dequeue(key, now);
            self.enqueue(key, true, now);
            if self.jobs[key].urgent && !self.jobs[key].parked {
                let at = submitted.after(self.policy.urgent_start / 2);
                self.timers.add(at.max(now), TimerEvent::Urgent(key));
            }
        }
    }
}
