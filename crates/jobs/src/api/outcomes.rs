use std::time::Duration;

use sesamedeal_core::jobs::JobPhase;

/// Outcome of a job submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored, by this call or an earlier one.
    Accepted,
    /// The job is not stored, and this call cannot store it later.
    Refused {
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
    /// The job is not stored and never runs, since it could not end while its result is of use.
    Overloaded {
        /// Delay after which capacity is expected.
        retry_after: Duration,
    },
    /// The job may be stored now or later.
    Unknown,
    /// The job is too large to be stored.
    TooLarge,
}

/// Outcome of a status query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusOutcome {
    /// The phase of the job in the store.
    Known(JobPhase),
    /// There is no job with this id.
    Missing,
    /// The store could not be read.
    Unavailable {
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
}

/// Outcome of a request to cancel a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The request is stored, or the job has already ended.
    Accepted,
    /// There is no job with this id.
    Missing,
    /// The request may be stored now or later.
    Unknown,
    /// The store is not available, and the request is not stored.
    Unavailable {
        /// Delay before the caller should retry.
        retry_after: Duration,
    },
}
