use std::collections::{HashMap, HashSet};
use std::time::Duration;

use compact_str::CompactString;

use super::{StepName, WorkerKey};
use crate::time::TimePoint;

/// Time before the end of a ticket in which it is not used, for the way to the worker.
const TICKET_MARGIN: Duration = Duration::from_millis(400);

/// Question to the policy service which of some workers may run a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepName,
    /// The workers. The service takes longer for each.
    pub workers: Vec<WorkerKey>,
}

/// What the policy service has said of a step.
#[derive(Debug, Clone, Default)]
pub(crate) struct TicketCache {
    /// Tickets of the workers that may run the step, and until when they are used.
    tickets: HashMap<WorkerKey, (CompactString, TimePoint)>,
    /// Workers that may not.
    denied: HashSet<WorkerKey>,
    pub is_requesting: bool,
    pub retry_after: TimePoint,
}

impl TicketCache {
    pub(crate) fn ticket(&self, key: WorkerKey, now: TimePoint) -> Option<&CompactString> {
        let (ticket, until) = self.tickets.get(&key)?;
        (now < *until).then_some(ticket)
    }

    /// Whether it is worth asking for a worker.
    pub(crate) fn needs_request(&self, key: WorkerKey, now: TimePoint) -> bool {
        !self.denied.contains(&key) && self.ticket(key, now).is_none()
    }

    /// Takes an answer, which was asked for at `asked`. Workers that it leaves out may not run the
    /// step.
    pub(crate) fn store(
        &mut self,
        workers: &[WorkerKey],
        allowed: &HashMap<WorkerKey, CompactString>,
        valid: Duration,
        asked: TimePoint,
    ) {
        let until = asked.after(valid.saturating_sub(TICKET_MARGIN));
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
