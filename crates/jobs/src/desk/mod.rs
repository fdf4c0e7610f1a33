//! What every entry instance does for callers.

mod job_desk;
mod outcomes;

pub use job_desk::JobDesk;
pub use outcomes::{CancelOutcome, StatusOutcome, SubmitOutcome};
