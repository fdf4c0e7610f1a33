//! What every entry instance does for callers.

mod job_api;
mod outcomes;

pub use job_api::JobApi;
pub use outcomes::{CancelOutcome, StatusOutcome, SubmitOutcome};
