use super::RetryReason;

/// Retries that may be spent without any request.
const BASE_RETRIES: u64 = 10;

/// Requests that earn one retry.
const REQUESTS_PER_RETRY: u64 = 10;

/// Budget of retries: 10% of the requests plus 10.
///
/// Without a bound, retries multiply the load of a fleet that is failing because of its load.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: u64,
    spent: [u64; RetryReason::ALL.len()],
}

impl RetryBudget {
    /// Creates an unspent budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request.
    pub const fn add_request(&mut self) {
        self.requests += 1;
    }

    /// Spends one retry if the budget allows it.
    pub fn spend(&mut self, reason: RetryReason) -> bool {
        let allowed = self.total() < BASE_RETRIES + self.requests / REQUESTS_PER_RETRY;
        if allowed {
            self.spent[reason as usize] += 1;
        }
        allowed
    }

    /// Retries spent for a reason.
    #[must_use]
    pub const fn spent(&self, reason: RetryReason) -> u64 {
        self.spent[reason as usize]
    }

    /// Retries spent for all reasons.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.spent.iter().sum()
    }
}
