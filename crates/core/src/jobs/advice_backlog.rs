use std::time::Duration;

/// Maximum number of requests in flight. The service handles one at a time, and a second one keeps
/// it busy while an answer is on its way.
const MAX_OPEN_REQUESTS: usize = 2;

/// Time beyond the service's own within which a request has to be answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(1_500);

/// Maximum number of times that the timeout is doubled.
const MAX_DOUBLINGS: u32 = 3;

/// Requests that the policy service has not answered. It handles one at a time, in the order in
/// which they arrive.
#[derive(Debug, Default)]
pub(crate) struct AdviceBacklog {
    /// Time that the service takes for each request in flight.
    open: Vec<Duration>,
    /// Number of requests without an answer in time since the last answer.
    timeouts: u32,
}

impl AdviceBacklog {
    /// Number of requests in flight.
    pub(crate) const fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether another request has to wait. The service may still work on one that was given up, so
    /// that after a timeout one request at a time is made.
    pub(crate) const fn is_full(&self) -> bool {
        let limit = if self.timeouts > 0 {
            1
        } else {
            MAX_OPEN_REQUESTS
        };
        self.open.len() >= limit
    }

    /// Adds a request for which the service takes `work`, and returns the time after which it is
    /// given up. That includes the requests before it.
    pub(crate) fn add(&mut self, work: Duration) -> Duration {
        let before = self.open.iter().sum::<Duration>();
        self.open.push(work);
        let own = work.saturating_add(ANSWER_MARGIN);
        let factor = 1 << self.timeouts.min(MAX_DOUBLINGS);
        before.saturating_add(own.saturating_mul(factor))
    }

    /// Removes a request that was answered.
    pub(crate) fn note_answer(&mut self, work: Duration) {
        self.remove(work);
        self.timeouts = 0;
    }

    /// Removes a request that was not answered in time.
    pub(crate) fn note_timeout(&mut self, work: Duration) {
        self.remove(work);
        self.timeouts = self.timeouts.saturating_add(1);
    }

    /// Removes a request that the service did not take.
    pub(crate) fn remove(&mut self, work: Duration) {
        if let Some(index) = self.open.iter().position(|open| *open == work) {
            self.open.swap_remove(index);
        }
    }
}
