//! Tickets of the policy service.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use super::JobDispatcher;
use crate::jobs::{AdviceRequest, StepName, WorkerKey};
use crate::time::TimePoint;

/// Workers that one question names. Few, since the service takes longer for each.
const WORKERS_ASKED: usize = 6;

/// Questions under way at once. The service answers one at a time.
const QUESTIONS: usize = 2;

/// Pause after a question without an answer.
const ASK_RETRY: Duration = Duration::from_millis(300);

impl JobDispatcher {
    /// Questions to ask now, for steps whose tasks wait for a worker with a ticket.
    pub fn take_advice_requests(&mut self, now: TimePoint) -> Vec<AdviceRequest> {
        if !self.rules.queues.values().any(|rule| rule.needs_ticket) {
            return Vec::new();
        }
        let mut under_way = self
            .tickets
            .values()
            .filter(|cache| cache.is_requesting)
            .count();
        let mut requests = Vec::new();
        let mut waiting = self.waiting_steps(now);
        waiting.retain(|step| self.needs_ticket(step.name));
        waiting.sort_by_key(|step| (step.key, step.name));
        let pools = self.usable_workers(now);
        for step in waiting {
            if under_way >= QUESTIONS {
                break;
            }
            let cache = self.tickets.entry(step.name).or_default();
            let workers = pools.get(&step.pool).into_iter().flatten();
            let mut open: Vec<WorkerKey> = workers
                .copied()
                .filter(|key| cache.needs_request(*key, now))
                .collect();
            if cache.is_requesting || now < cache.retry_after || open.is_empty() {
                continue;
            }
            open.sort_by_key(|key| std::cmp::Reverse(self.workers[*key].room().cpu_millis));
            open.truncate(WORKERS_ASKED);
            cache.is_requesting = true;
            under_way += 1;
            requests.push(AdviceRequest {
                step: step.name,
                workers: open,
            });
        }
        requests
    }

    /// Takes an answer of the policy service; none if there was no answer.
    pub fn note_advice(
        &mut self,
        request: &AdviceRequest,
        answer: Option<(&HashMap<WorkerKey, CompactString>, Duration)>,
        asked: TimePoint,
        now: TimePoint,
    ) {
        let Some(cache) = self.tickets.get_mut(&request.step) else {
            return;
        };
        cache.is_requesting = false;
        match answer {
            Some((allowed, valid)) => cache.store(&request.workers, allowed, valid, asked),
            None => cache.retry_after = now.after(ASK_RETRY),
        }
    }

    pub(super) fn needs_ticket(&self, step: StepName) -> bool {
        let job = self.jobs.get(&step.job);
        let rule = job.and_then(|job| self.rules.queues.get(&job.order.queue));
        rule.is_some_and(|rule| rule.needs_ticket)
    }

    pub(super) fn ticket(
        &self,
        step: StepName,
        key: WorkerKey,
        now: TimePoint,
    ) -> Option<CompactString> {
        self.tickets.get(&step)?.ticket(key, now).cloned()
    }

    /// Forgets the tickets of jobs that are gone.
    pub(super) fn forget_tickets(&mut self) {
        let jobs = &self.jobs;
        self.tickets.retain(|step, _| jobs.contains_key(&step.job));
    }
}
