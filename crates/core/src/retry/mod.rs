//! Retries of jobs: the reasons and the budget that limits their number.

mod retry_budget;
mod retry_reason;

pub use retry_budget::RetryBudget;
pub use retry_reason::RetryReason;
