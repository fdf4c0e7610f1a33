use std::time::Duration;

use crate::code::ResultCode;

/// Final answer for a job that is not run or whose result is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobRefusal {
    /// Reason and run state.
    pub code: ResultCode,
    /// Delay after which the caller can retry.
    pub retry_after: Option<Duration>,
}

impl JobRefusal {
    /// Creates a refusal without a retry delay.
    #[must_use]
    pub const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// Sets the delay after which the caller can retry.
    #[must_use]
    pub const fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
