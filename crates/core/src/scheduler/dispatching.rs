use rand::RngExt;

use super::job_record::{AttemptRecord, JobRecord};
use super::{
    DispatchOrder, FlowIndex, JobKey, JobRefusal, JobScheduler, PoolIndex, SchedulerAction,
    TeamIndex, WorkerIndex,
};
use crate::code::ResultCode;
use crate::queue::{FlowBlock, TimerEvent};
use crate::time::TimePoint;

/// Workers sampled at random before all workers with free slots are considered.
const SAMPLED_WORKERS: usize = 2;

impl JobScheduler {
    /// Returns the next action in a pool, or `None` when nothing more can be done there now.
    pub(super) fn serve_pool(
        &mut self,
        pool: PoolIndex,
        now: TimePoint,
    ) -> Option<SchedulerAction> {
        loop {
            let entry = &self.fleet.pools[pool.at()];
            let flow = if entry.ready.is_empty() {
                // Only the flow with a reserved worker can be served.
                let (_, flow) = entry.reserved?;
                (self.flows[flow.at()].block == FlowBlock::None).then_some(flow)?
            } else if let Some(flow) = self.next_flow(pool) {
                flow
            } else {
                self.lend_slots(pool, now);
                return None;
            };
            if let Some(action) = self.serve_flow(pool, flow, now) {
                return Some(action);
            }
        }
    }

    fn serve_flow(
        &mut self,
        pool: PoolIndex,
        index: FlowIndex,
        now: TimePoint,
    ) -> Option<SchedulerAction> {
        let flow = &self.flows[index.at()];
        let team = flow.team;
        let overdue = flow.overdue;
        let key = overdue.or_else(|| flow.first())?;
        if let Some(code) = self.dispatch_refusal(key, now) {
            self.refuse(key, JobRefusal::new(code), now);
            return self.actions.pop_front();
        }
        if self.fleet.teams[team.at()].account.available() == 0 {
            self.fleet.teams[team.at()].last_shortage = Some(now);
            self.block(index, FlowBlock::Permits);
            return None;
        }
        if overdue.is_none()
            && !self.fleet.pools[pool.at()].requests.is_empty()
            && self.fleet.pools[pool.at()].is_over_entitlement()
            && self.lend_slots(pool, now)
        {
            return None;
        }
        let Some((worker, slots)) = self.pick_worker(pool, index, key) else {
            self.block(index, FlowBlock::Slots);
            self.reserve(pool, index, key, now);
            return None;
        };
        Some(self.dispatch(key, worker, slots, now))
    }

    /// Returns the reason why a queued job can no longer be dispatched, if there is one.
    fn dispatch_refusal(&self, key: JobKey, now: TimePoint) -> Option<ResultCode> {
        let job = &self.jobs[key];
        let team = self.flows[job.flow.at()].team;
        if job.deadline <= now || self.is_too_late(job, team, now) {
            return Some(ResultCode::DeadlinePassed);
        }
        let id = job.key?;
        if !self.keyed_work_allowed {
            return Some(ResultCode::StaleState);
        }
        (!self.fleet.is_key_valid(id, team)).then_some(ResultCode::WithdrawnKey)
    }

    /// Whether a job that had to wait can no longer end in time. If it were dispatched now, it
    /// would be stopped at its deadline and its caller would get an unknown outcome.
    fn is_too_late(&self, job: &JobRecord, team: TeamIndex, now: TimePoint) -> bool {
        if job.submitted == now {
            return false;
        }
        let expected = self.fleet.teams[team.at()].correction.estimate(job.run);
        expected.is_some_and(|run| job.deadline <= now.after(run))
    }

    pub(super) fn next_flow(&self, pool: PoolIndex) -> Option<FlowIndex> {
        let mut best = (f32::INFINITY, None);
        for (order, flow) in &self.fleet.pools[pool.at()].backlog {
            if *order < best.0 {
                best = (*order, Some(*flow));
            }
        }
        best.1
    }

    /// Chooses the better of two workers sampled at random, or the best of all when neither fits.
    fn pick_worker(
        &mut self,
        pool: PoolIndex,
        flow: FlowIndex,
        key: JobKey,
    ) -> Option<(WorkerIndex, u32)> {
        let entry = &self.fleet.pools[pool.at()];
        if let Some((worker, holder)) = entry.reserved
            && holder == flow
            && let Some((slots, _)) = self.suitability(worker, key)
        {
            self.fleet.pools[pool.at()].reserved = None;
            return Some((worker, slots));
        }
        let mut best = None;
        for _ in 0..SAMPLED_WORKERS.min(entry.ready.len()) {
            let worker = entry.ready[self.rng.random_range(0..entry.ready.len())];
            best = self.better_candidate(best, worker, key);
        }
        if best.is_none() {
            for worker in &self.fleet.pools[pool.at()].ready {
                best = self.better_candidate(best, *worker, key);
            }
        }
        best.map(|(worker, slots, _)| (worker, slots))
    }

    fn better_candidate(
        &self,
        best: Option<(WorkerIndex, u32, f32)>,
        worker: WorkerIndex,
        key: JobKey,
    ) -> Option<(WorkerIndex, u32, f32)> {
        let Some((slots, score)) = self.suitability(worker, key) else {
            return best;
        };
        match best {
            Some((_, _, other)) if other >= score => best,
            _ => Some((worker, slots, score)),
        }
    }

    /// Returns the slots that the job needs on the worker and the worker's score, if the job can
    /// start there.
    fn suitability(&self, worker: WorkerIndex, key: JobKey) -> Option<(u32, f32)> {
        let job = &self.jobs[key];
        let state = &self.fleet.placement[worker.at()];
        let slots = state.slots_for(job.requirements)?;
        let suitable = slots <= state.free_slots
            && (!state.on_trial || job.requirements.idempotent)
            && !job.tried.contains(&worker);
        suitable.then(|| (slots, state.score()))
    }

    /// Reserves the worker with the most free slots for a job that needs more slots than any worker
    /// has free. Otherwise smaller jobs would take every slot as it becomes free.
    fn reserve(&mut self, pool: PoolIndex, flow: FlowIndex, key: JobKey, now: TimePoint) {
        let entry = &self.fleet.pools[pool.at()];
        if entry.reserved.is_some() {
            return;
        }
        let job = &self.jobs[key];
        let best = entry
            .ready
            .iter()
            .copied()
            .filter(|worker| {
                let record = &self.fleet.workers[worker.at()];
                record.takes_work(now)
                    && !record.health.quarantined
                    && !job.tried.contains(worker)
                    && record
                        .slots_for(job.requirements)
                        .is_some_and(|slots| slots > record.account.available())
            })
            .max_by_key(|worker| self.fleet.workers[worker.at()].account.available());
        if let Some(worker) = best {
            self.fleet.pools[pool.at()].reserved = Some((worker, flow));
            self.refresh_worker(worker, now);
        }
    }

    fn dispatch(
        &mut self,
        key: JobKey,
        worker: WorkerIndex,
        slots: u32,
        now: TimePoint,
    ) -> SchedulerAction {
        let index = self.jobs[key].flow;
        self.flows[index.at()].service.record_dispatch(now);
        self.dequeue(key, now);
        let flow = &mut self.flows[index.at()];
        flow.accrue(now);
        flow.held += slots;
        let (pool, team) = (flow.pool, flow.team);
        self.fleet.pools[pool.at()].held += slots;
        self.fleet.teams[team.at()].account.take(1);
        let record = &mut self.fleet.workers[worker.at()];
        record.account.take(slots);
        let attempt = self.attempts.insert(AttemptRecord {
            job: key,
            worker,
            pool,
            team,
            flow: index,
            slots,
            started: now,
            idempotent: self.jobs[key].requirements.idempotent,
            holds_units: true,
            finished: false,
            stopping: false,
            conflicts_with: None,
        });
        let order = DispatchOrder {
            job: key,
            attempt,
            worker: record.name.clone(),
            address: record.address.clone(),
            lease: self.policy.task_lease,
        };
        self.holding_attempts += 1;
        let held_until = now
            .after(self.policy.task_lease)
            .after(self.policy.clock_margin);
        self.timers.add(held_until, TimerEvent::Lease(attempt));
        self.refresh_worker(worker, now);
        self.reorder(index, now);
        SchedulerAction::Dispatch(order)
    }
}
