use super::{ClaimRecord, ClaimState, RecordedResponse};
use crate::code::ResultCode;

/// Whether the session that made a claim may still be running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionPresence {
    /// The session may still be processing the request.
    Present,
    /// The session has left or has stopped; it will not finish the request.
    Gone,
}

/// Decision on a non-idempotent request that has an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The request is not claimed: insert a claim if the row is still absent.
    Claim,
    /// The request was executed; the caller receives the recorded response.
    Respond(RecordedResponse),
    /// The request is in progress.
    InProgress,
    /// The request may have been sent and its outcome is unknown.
    Unknown,
    /// The idempotency key was used for another request.
    KeyReused,
}

impl ClaimDecision {
    /// Result code of the response; `None` if the request has to be claimed.
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

/// Decides how to process a request, given the claim row as read.
///
/// A claim whose claimant is gone is never taken over, because the claimant may have dispatched
/// the request just before it stopped.
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
