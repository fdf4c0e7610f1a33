use std::time::Duration;

use sesamedeal_core::jobs::JobPhase;

/// What became of a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// It is stored, now or before.
    Accepted,
    /// It is not stored and never will be through this call.
    Refused {
        /// Time after which to come back.
        retry_after: Duration,
    },
    /// It may be stored, or may be later.
    Unknown,
    /// It is too large to be stored.
    TooLarge,
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusOutcome {
    /// The stored phase.
    Known(JobPhase),
    /// There is no such job.
    Missing,
    /// The store does not answer.
    Unavailable {
        /// Time after which to come back.
        retry_after: Duration,
    },
}

/// What became of a request to cancel a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The request is stored, or the job had ended.
    Accepted,
    /// There is no such job.
    Missing,
    /// The request may be stored, or may be later.
    Unknown,
    /// The store does not answer, and the request is not stored.
    Unavailable {
        /// Time after which to come back.
        retry_after: Duration,
    },
}
