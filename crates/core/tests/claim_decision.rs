//! Decisions on repeated requests with an idempotency key.

use sesamedeal_core::claims::{ClaimRecord, SessionPresence, decide_claim, request_fingerprint};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::ids::{OperationId, QueueName, SessionId};

/// Guards against answering a request with the result of another request that used the same
/// idempotency key.
#[test]
fn key_reuse() {
    let queue = QueueName::new("payments");
    let first = request_fingerprint(&queue, b"pay 5");
    let row = ClaimRecord::new(SessionId(1), OperationId(1), first, 0);
    for other in [
        request_fingerprint(&queue, b"pay 6"),
        request_fingerprint(&QueueName::new("payment"), b"spay 5"),
    ] {
        let decision = decide_claim(Some(&row), &other, SessionPresence::Present);
        assert_eq!(decision.code(), Some(ResultCode::KeyReused));
    }
    let decision = decide_claim(Some(&row), &first, SessionPresence::Gone);
    assert_eq!(decision.code(), Some(ResultCode::OutcomeUnknown));
    let decision = decide_claim(Some(&row), &first, SessionPresence::Present);
    assert_eq!(decision.code(), Some(ResultCode::InProgress));
}
