use std::time::Duration;

use crate::code::ResultCode;

/// Final answer to a job that is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobRefusal {
    /// Reason and run state.
    pub code: ResultCode,
    /// Time after which coming back makes sense.
    pub retry_after: Option<Duration>,
}

impl JobRefusal {
    /// Creates a refusal without a time to come back.
    #[must_use]
    pub const fn new(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// Adds the time after which coming back makes sense.
    #[must_use]
    pub const fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
