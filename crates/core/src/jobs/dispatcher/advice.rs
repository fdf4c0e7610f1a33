//! Requests to the policy service for tickets, without which some queues start no tasks.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;

use super::JobDispatcher;
use crate::ids::InstanceName;
use crate::jobs::{AdviceOutcome, AdviceRequest, AdviceRule, StepName, WorkerKey};
use crate::time::TimePoint;

/// Maximum number of workers in one advice request. The service takes longer for each worker.
const MAX_WORKERS_PER_REQUEST: usize = 6;

/// Delay before an advice request that had no response is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

impl JobDispatcher {
    /// Returns the advice requests to send now, for steps whose tasks wait for a worker with a
    /// ticket.
    pub fn take_advice_requests(&mut self, now: TimePoint) -> Vec<AdviceRequest> {
        if !self.rules.queues.values().any(|rule| rule.advice.is_some()) {
            return Vec::new();
        }
        let mut requests = Vec::new();
        let mut waiting = self.waiting_steps_where(now, |_, rule| rule.advice.is_some());
        waiting.sort_by_key(|step| (step.key, step.name));
        let pools = self.usable_workers(now);
        for step in waiting {
            if self.advice_backlog.is_full() {
                break;
            }
            let Some(rule) = self.advice_rule(step.name) else {
                continue;
            };
            let cache = self.tickets.entry(step.name).or_default();
            let workers = pools.get(&step.pool).into_iter().flatten();
            let mut candidates: Vec<WorkerKey> = workers
                .copied()
                .filter(|key| cache.needs_request(*key, now))
                .collect();
            if cache.is_requesting || now < cache.retry_after || candidates.is_empty() {
                continue;
            }
            candidates.sort_by_key(|key| std::cmp::Reverse(self.workers[*key].room().cpu_millis));
            candidates.truncate(MAX_WORKERS_PER_REQUEST);
            cache.is_requesting = true;
            let work = rule.answer_time(candidates.len());
            requests.push(AdviceRequest {
                step: step.name,
                workers: candidates,
                work,
                timeout: self.advice_backlog.add(work),
            });
        }
        requests
    }

    /// Processes the end of a request to the policy service. Returns the number of tickets that were
    /// stored.
    ///
    /// Tickets count from the answer on, since the service may take longer than they are valid. A
    /// worker refuses one that was under way for too long.
    pub fn note_advice(
        &mut self,
        request: &AdviceRequest,
        outcome: AdviceOutcome<'_>,
        now: TimePoint,
    ) -> usize {
        let backlog = &mut self.advice_backlog;
        let answer = match outcome {
            AdviceOutcome::Answered { allowed, valid } => {
                backlog.note_answer(request.work);
                Some((self.match_tickets(request, allowed), valid))
            }
            AdviceOutcome::Refused => {
                backlog.remove(request.work);
                None
            }
            AdviceOutcome::Unanswered => {
                backlog.note_timeout(request.work);
                None
            }
        };
        let Some(cache) = self.tickets.get_mut(&request.step) else {
            return 0;
        };
        let restarted = cache.end_request();
        let Some((tickets, valid)) = answer else {
            cache.retry_after = now.after(RETRY_DELAY);
            return 0;
        };
        let mut asked = request.workers.clone();
        asked.retain(|key| !restarted.contains(key));
        cache.store(&asked, &tickets, valid, now);
        tickets.len()
    }

    /// Returns the tickets of an answer by the keys of the workers that the request named. Some of
    /// them may be missing from the list meanwhile.
    fn match_tickets(
        &self,
        request: &AdviceRequest,
        allowed: &HashMap<InstanceName, CompactString>,
    ) -> HashMap<WorkerKey, CompactString> {
        let tickets = request.workers.iter().filter_map(|key| {
            let name = &self.worker(*key)?.name;
            Some((*key, allowed.get(name)?.clone()))
        });
        tickets.collect()
    }

    pub(super) fn needs_ticket(&self, step: StepName) -> bool {
        self.advice_rule(step).is_some()
    }

    fn advice_rule(&self, step: StepName) -> Option<AdviceRule> {
        let job = self.jobs.get(&step.job)?;
        self.rules.queues.get(&job.order.queue)?.advice
    }

    /// Number of requests to the policy service that have not ended.
    #[must_use]
    pub const fn open_advice_requests(&self) -> usize {
        self.advice_backlog.len()
    }

    pub(super) fn ticket(
        &self,
        step: StepName,
        key: WorkerKey,
        now: TimePoint,
    ) -> Option<CompactString> {
        self.tickets.get(&step)?.ticket(key, now).cloned()
    }

    /// Whether the policy service does not allow the step on a worker.
    pub(super) fn is_denied(&self, step: StepName, key: WorkerKey) -> bool {
        let cache = self.tickets.get(&step);
        cache.is_some_and(|cache| cache.is_denied(key))
    }

    /// Drops the tickets of jobs that the dispatcher no longer has.
    pub(super) fn drop_stale_tickets(&mut self) {
        let jobs = &self.jobs;
        self.tickets.retain(|step, _| jobs.contains_key(&step.job));
    }
}
