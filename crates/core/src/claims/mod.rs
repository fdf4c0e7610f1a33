//! At-most-once execution of requests that are not idempotent.

mod claim_decision;
mod claim_holder;
mod claim_record;

pub use claim_decision::{ClaimDecision, SessionPresence, decide_claim};
pub use claim_holder::{ClaimHolder, ClaimStep, ClaimWrite, WriteOutcome};
pub use claim_record::{
    ClaimRecord, ClaimState, RecordedResponse, ResponseBody, request_fingerprint,
};
