use super::{ClaimRecord, ClaimState, RecordedResponse};
use crate::code::ResultCode;

/// What is known of the session that made a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionPresence {
    /// It may still be working on the request.
    Present,
    /// It has left, or is known to have stopped; it will not finish the request.
    Gone,
}

/// Answer to a non-idempotent request that has an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Nobody has claimed the request: insert a claim on the condition that the row is absent.
    Claim,
    /// The request was run; the caller receives the recorded response.
    Respond(RecordedResponse),
    /// The request is being run.
    InProgress,
    /// The request was sent and its outcome is not known.
    Unknown,
    /// The idempotency key was used for another request.
    KeyReused,
}

impl ClaimDecision {
    /// Result code of the answer; `None` when the request is to be claimed.
    #[must_use]
    pub const fn code(&self) -> Option<ResultCode> {
        match self {
            Self::Claim => None,
            Self::Respond(_) => Some(ResultCode::Ok),
            Self::InProgress => Some(ResultCode::InProgress),
            Self::Unknown => Some(ResultCode::OutcomeUnknown),
            Self::KeyReused => Some(ResultCode::KeyReused),
        }
    }
}

/// Decides on a request from the row as read.
///
/// A claim whose claimant is gone is never taken over: the claimant may have dispatched the
/// request just before it stopped.
#[must_use]
pub fn decide_claim(
    row: Option<&ClaimRecord>,
    fingerprint: &[u8; 32],
    claimant: SessionPresence,
) -> ClaimDecision {
    let Some(row) = row else {
        return ClaimDecision::Claim;
    };
    if row.fingerprint != *fingerprint {
        return ClaimDecision::KeyReused;
    }
    match &row.state {
        ClaimState::Finished { response } => ClaimDecision::Respond(response.clone()),
        ClaimState::Unknown => ClaimDecision::Unknown,
        ClaimState::Claimed => match claimant {
            SessionPresence::Present => ClaimDecision::InProgress,
            SessionPresence::Gone => ClaimDecision::Unknown,
        },
    }
}
