//! At-most-once execution of requests that carry an idempotency key.

mod claim_desk;
mod claim_rows;
mod claim_start;
mod held_claim;

pub(crate) use claim_desk::{ClaimDesk, ClaimRequest};
pub(crate) use claim_rows::response_key;
pub(crate) use claim_start::ClaimStart;
pub(crate) use held_claim::HeldClaim;
