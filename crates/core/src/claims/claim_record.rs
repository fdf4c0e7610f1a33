use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, hex::Hex, serde_as};
use sha2::{Digest, Sha256};

use crate::ids::{OperationId, QueueName, SessionId};

/// Body of a recorded response.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseBody {
    /// Bytes in the row itself.
    Inline(#[serde_as(as = "Base64")] Vec<u8>),
    /// Key of the object that holds the bytes.
    Object(CompactString),
}

/// Response that a repeated request receives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status of the backend server's response.
    pub status: u16,
    /// Content type of the response, if it had one.
    pub content_type: Option<CompactString>,
    /// Body of the response.
    pub body: ResponseBody,
}

/// Progress of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum ClaimState {
    /// The claimant is dispatching the request or waiting for its response.
    Claimed,
    /// The response is recorded.
    Finished {
        /// The response.
        response: RecordedResponse,
    },
    /// The request was sent and its outcome was lost.
    Unknown,
}

/// Row `claim/<team>/<idempotency key>` of the table service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Session of the entry instance that made the claim.
    pub session: SessionId,
    /// Operation that inserted the row; identifies this claim.
    pub operation: OperationId,
    /// Hash of the request, as returned by `request_fingerprint`.
    #[serde_as(as = "Hex")]
    pub fingerprint: [u8; 32],
    /// Time of the claim in seconds since 1970; used only to remove the row after 24 hours.
    pub created: u64,
    /// Progress of the request.
    pub state: ClaimState,
}

impl ClaimRecord {
    /// Creates the row that claims a request.
    #[must_use]
    pub const fn new(
        session: SessionId,
        operation: OperationId,
        fingerprint: [u8; 32],
        created: u64,
    ) -> Self {
        Self {
            session,
            operation,
            fingerprint,
            created,
            state: ClaimState::Claimed,
        }
    }

    /// Whether an object may contain the response. The object is written before the row refers to
    /// it, and the row may never be updated.
    #[must_use]
    pub const fn may_have_object(&self) -> bool {
        !matches!(
            &self.state,
            ClaimState::Finished {
                response: RecordedResponse {
                    body: ResponseBody::Inline(_),
                    ..
                }
            }
        )
    }
}

/// Hash of the parts of a request that must be equal when its idempotency key is repeated.
#[must_use]
pub fn request_fingerprint(queue: &QueueName, body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update((queue.as_str().len() as u64).to_be_bytes());
    hasher.update(queue.as_str());
    hasher.update(body);
    hasher.finalize().into()
}
