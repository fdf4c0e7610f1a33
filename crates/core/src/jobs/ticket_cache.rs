use std::collections::{HashMap, HashSet};
use std::time::Duration;

use compact_str::CompactString;

use super::{StepName, WorkerKey};
use crate::ids::InstanceName;
use crate::time::TimePoint;

/// Time before a ticket expires from which it is no longer used, to allow for the delay until it
/// reaches the worker.
const TICKET_MARGIN: Duration = Duration::from_millis(400);

/// Request to the policy service for the workers that may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Step to run.
    pub step: StepName,
    /// Workers to check. The service's response time grows with their number.
    pub workers: Vec<WorkerKey>,
    /// Time that the service takes for this request, once it is its turn.
    pub work: Duration,
    /// Time after which the request is given up.
    pub timeout: Duration,
}

/// How a request to the policy service ended.
#[derive(Debug, Clone, Copy)]
pub enum AdviceOutcome<'a> {
    /// The service answered.
    Answered {
        /// Tickets of the workers that may run the step.
        allowed: &'a HashMap<InstanceName, CompactString>,
        /// Time for which the tickets are valid.
        valid: Duration,
    },
    /// The service did not take the request.
    Refused,
    /// There was no answer in time. The service may still work on the request.
    Unanswered,
}

/// Answers of the policy service for a step.
#[derive(Debug, Clone, Default)]
pub(crate) struct TicketCache {
    /// Tickets of the workers that may run the step, and the times until which they are used.
    tickets: HashMap<WorkerKey, (CompactString, TimePoint)>,
    /// Workers that may not run the step.
    denied: HashSet<WorkerKey>,
    /// Workers that were started again since the request in progress was sent.
    restarted: HashSet<WorkerKey>,
    /// Whether a request is in progress.
    pub is_requesting: bool,
    /// Earliest time of the next request after one that failed.
    pub retry_after: TimePoint,
}

impl TicketCache {
    /// Returns the worker's ticket unless it is missing or expires too soon.
    pub(crate) fn ticket(&self, key: WorkerKey, now: TimePoint) -> Option<&CompactString> {
        let (ticket, until) = self.tickets.get(&key)?;
        (now < *until).then_some(ticket)
    }

    /// Whether a worker may not run the step.
    pub(crate) fn is_denied(&self, key: WorkerKey) -> bool {
        self.denied.contains(&key)
    }

    /// Whether a worker has neither a valid ticket nor a denial.
    pub(crate) fn needs_request(&self, key: WorkerKey, now: TimePoint) -> bool {
        !self.is_denied(key) && self.ticket(key, now).is_none()
    }

    /// Forgets what is known about a worker that was started again or has refused its ticket. A ticket
    /// is valid for one life of the worker, and its next one may be of another kind.
    pub(crate) fn forget(&mut self, key: WorkerKey) {
        self.tickets.remove(&key);
        self.denied.remove(&key);
        if self.is_requesting {
            self.restarted.insert(key);
        }
    }

    /// Records that the request in progress has ended, and returns the workers that were started
    /// again meanwhile.
    pub(crate) fn end_request(&mut self) -> HashSet<WorkerKey> {
        self.is_requesting = false;
        std::mem::take(&mut self.restarted)
    }

    /// Stores the answer to a request for `workers`. Its tickets are valid for `valid` from `now`
    /// on. Workers without a ticket in `allowed` may not run the step.
    pub(crate) fn store(
        &mut self,
        workers: &[WorkerKey],
        allowed: &HashMap<WorkerKey, CompactString>,
        valid: Duration,
        now: TimePoint,
    ) {
        let until = now.after(valid.saturating_sub(TICKET_MARGIN));
        for key in workers {
            match allowed.get(key) {
                Some(ticket) => {
                    self.tickets.insert(*key, (ticket.clone(), until));
                }
                None => {
                    self.denied.insert(*key);
                }
            }
        }
    }
}
