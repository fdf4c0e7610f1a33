use super::RetryReason;

/// Number of retries that are allowed before any request is counted.
const BASE_RETRIES: u64 = 10;

/// Number of requests that add one retry to the budget.
const REQUESTS_PER_RETRY: u64 = 10;

/// Limit on retries: 10% of the requests plus 10.
///
/// Without a limit, retries multiply the load of a fleet that is failing because it is overloaded.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: u64,
    spent: [u64; RetryReason::ALL.len()],
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request.
    pub const fn add_request(&mut self) {
        self.requests += 1;
    }

    /// Spends one retry if the budget allows it. Returns whether the retry is allowed.
    pub fn spend(&mut self, reason: RetryReason) -> bool {
        let allowed = self.total() < BASE_RETRIES + self.requests / REQUESTS_PER_RETRY;
        if allowed {
            self.spent[reason as usize] += 1;
        }
        allowed
    }

    /// Number of retries spent for a reason.
    #[must_use]
    pub const fn spent(&self, reason: RetryReason) -> u64 {
        self.spent[reason as usize]
    }

    /// Number of retries spent for all reasons.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.spent.iter().sum()
    }
}
