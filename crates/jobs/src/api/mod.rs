//! API that every entry instance offers to callers.

mod job_api;
mod outcomes;
mod overload_check;

pub use job_api::JobApi;
pub use outcomes::{CancelOutcome, StatusOutcome, SubmitOutcome};
