/// Tokens that one call earns, in thousandths: retries are limited to a tenth of the calls.
const EARNED_PER_CALL: u64 = 100;
/// Tokens that one retry costs, in thousandths.
const COST_OF_RETRY: u64 = 1000;

/// Bounds the retries of one client, so that retries do not multiply the load of a failing service.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: u64,
    reserve: u64,
}

impl RetryBudget {
    /// Creates a full budget of `reserve` retries.
    #[must_use]
    pub fn new(reserve: u32) -> Self {
        let reserve = u64::from(reserve) * COST_OF_RETRY;
        Self {
            tokens: reserve,
            reserve,
        }
    }

    /// Counts a call, which earns a tenth of a retry up to the reserve.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_CALL).min(self.reserve);
    }

    /// Takes one retry out of the budget; false if it is spent.
    #[must_use]
    pub const fn spend(&mut self) -> bool {
        if self.tokens < COST_OF_RETRY {
            return false;
        }
        self.tokens -= COST_OF_RETRY;
        true
    }
}
