use super::{AttemptKey, JobKey, JobScheduler, SchedulerAction};
use crate::queue::{FlowBlock, TimerEvent};
use crate::time::TimePoint;
use std::time::Duration;

/// Delay before the next search when no task could be preempted.
const PREEMPTION_RETRY_DELAY: Duration = Duration::from_millis(250);

impl JobScheduler {
    /// Moves an urgent job that has waited for half the start limit to the front of its pool, and
    /// preempts a running task when no slot is free.
    pub(super) fn promote_urgent(&mut self, key: JobKey, now: TimePoint) {
        let Some(job) = self
            .jobs
            .get_mut(key)
            .filter(|job| job.queued && !job.parked)
        else {
            return;
        };
        let index = job.flow;
        let flow = &mut self.flows[index.at()];
        let pool = flow.pool;
        if flow.overdue.is_none() {
            flow.overdue = Some(key);
        }
        if flow.block == FlowBlock::Slots {
            self.unblock(index, now);
        }
        self.reorder(index, now);
        self.mark_pool(pool);
        if !self.fleet.pools[pool.at()].ready.is_empty() || self.jobs[key].has_preempted {
            return;
        }
        if let Some(attempt) = self.victim(key, now) {
            self.jobs[key].has_preempted = true;
            let record = &mut self.attempts[attempt];
            record.stopping = true;
            let address = self.fleet.workers[record.worker.at()].address.clone();
            self.actions
                .push_back(SchedulerAction::Stop { attempt, address });
        } else {
            self.timers
                .add(now.after(PREEMPTION_RETRY_DELAY), TimerEvent::Urgent(key));
        }
    }

    /// Returns the newest idempotent attempt of the team that exceeds its share of the pool most.
    fn victim(&self, urgent: JobKey, now: TimePoint) -> Option<AttemptKey> {
        let own = self.jobs[urgent].flow;
        let pool = self.flows[own.at()].pool;
        self.attempts
            .iter()
            .filter(|(_, attempt)| {
                attempt.pool == pool
                    && attempt.holds_units
                    && attempt.idempotent
                    && !attempt.finished
                    && !attempt.stopping
                    && self.fleet.workers[attempt.worker.at()].is_usable()
                    && self
                        .jobs
                        .get(attempt.job)
                        .is_some_and(|job| !job.urgent && !job.abandoned)
            })
            .max_by(|(_, one), (_, other)| {
                let over = |flow| self.share_order(flow, now);
                over(one.flow)
                    .total_cmp(&over(other.flow))
                    .then(one.started.cmp(&other.started))
            })
            .map(|(key, _)| key)
    }
}
