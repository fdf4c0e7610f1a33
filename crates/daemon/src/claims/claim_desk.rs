use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use sesamedeal_core::claims::{
    ClaimDecision, ClaimHolder, ClaimRecord, ClaimState, ClaimStep, ResponseBody, SessionPresence,
    WriteOutcome, decide_claim,
};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::ids::{OperationId, SessionId, TeamName};
use sesamedeal_core::membership::{SessionRecord, SessionState};
use sesamedeal_core::scheduler::JobRefusal;
use sesamedeal_store::protocol::WriteReply;
use sesamedeal_store::rows::session_key;
use sesamedeal_store::{PlatformClient, PlatformError};

use super::claim_rows::{ClaimRows, claim_key};
use super::{ClaimStart, HeldClaim};
use crate::clock::unix_millis;
use crate::store::FleetView;

/// Time after which a repeat makes sense while the first request runs or the store is down.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Inserts tried when rows of others appear and disappear in between.
const INSERT_ATTEMPTS: u32 = 3;

/// Age in seconds of a claim after which a claimant that is not in the view counts as gone. A
/// session that has just joined is not in the view yet.
const JOIN_ALLOWANCE_S: u64 = 60;

/// A request with an idempotency key.
#[derive(Debug)]
pub(crate) struct ClaimRequest<'a> {
    pub team: &'a TeamName,
    pub idempotency_key: &'a str,
    /// Hash of what the caller asked for.
    pub fingerprint: [u8; 32],
}

/// Claims requests in the table service.
#[derive(Debug, Clone)]
pub(crate) struct ClaimDesk {
    pub client: PlatformClient,
    pub session: SessionId,
    pub view: FleetView,
}

impl ClaimDesk {
    /// Claims a request, or finds out what became of the same request before.
    pub(crate) async fn begin(&self, request: &ClaimRequest<'_>) -> ClaimStart {
        for _ in 0..INSERT_ATTEMPTS {
            if let Some(start) = self.try_begin(request).await {
                return start;
            }
        }
        refused(ResultCode::ClaimUnavailable)
    }

    /// Returns none when the row was there at the insert and gone at the read.
    async fn try_begin(&self, request: &ClaimRequest<'_>) -> Option<ClaimStart> {
        let operation = OperationId(rand::rng().random());
        let created = unix_millis() / 1000;
        let record = ClaimRecord::new(self.session, operation, request.fingerprint, created);
        let rows = ClaimRows {
            client: self.client.clone(),
            key: claim_key(request.team, request.idempotency_key),
            operation,
        };
        let (mut holder, _) = ClaimHolder::new(record.clone());
        let mut pending = PendingInsert(Some(rows.clone()));
        let outcome = match rows.insert(&record).await {
            Ok(WriteReply::Committed) => WriteOutcome::Done,
            Ok(WriteReply::Conflict { .. }) => WriteOutcome::Refused,
            Err(PlatformError::NoAnswer { .. }) => return Some(claim_unavailable()),
            Err(_) => {
                pending.0 = None;
                return Some(claim_unavailable());
            }
        };
        pending.0 = None;
        match holder.record_insert(outcome) {
            ClaimStep::Dispatch => {
                let claim = HeldClaim::new(holder, rows);
                Some(ClaimStart::Held(Box::new(claim)))
            }
            _ => self.decide(&rows, &request.fingerprint).await,
        }
    }

    async fn decide(&self, rows: &ClaimRows, fingerprint: &[u8; 32]) -> Option<ClaimStart> {
        let Ok(row) = rows.read().await else {
            return Some(claim_unavailable());
        };
        let record = row?.value;
        let presence = match record.state {
            ClaimState::Claimed => self.presence(&record).await,
            _ => SessionPresence::Gone,
        };
        let decision = decide_claim(Some(&record), fingerprint, presence);
        let code = decision.code();
        match decision {
            ClaimDecision::Respond(response) => Some(ClaimStart::Recorded(response)),
            _ => Some(refused(code?)),
        }
    }

    /// Whether the claimant may still be working on the request.
    async fn presence(&self, record: &ClaimRecord) -> SessionPresence {
        let session = record.session;
        if session == self.session || self.view.load().view.contains(session) {
            return SessionPresence::Present;
        }
        let row = self
            .client
            .read_row::<SessionRecord>(&session_key(session))
            .await;
        let age_s = (unix_millis() / 1000).saturating_sub(record.created);
        match row {
            Ok(None) => SessionPresence::Gone,
            Ok(Some(row)) if row.value.state == SessionState::Left => SessionPresence::Gone,
            Ok(Some(_)) if age_s > JOIN_ALLOWANCE_S => SessionPresence::Gone,
            Ok(Some(_)) | Err(_) => SessionPresence::Present,
        }
    }

    /// Reads the body of a recorded response.
    pub(crate) async fn recorded_body(&self, body: ResponseBody) -> Result<Bytes, JobRefusal> {
        let key = match body {
            ResponseBody::Inline(bytes) => return Ok(bytes.into()),
            ResponseBody::Object(key) => key,
        };
        // The request has run: a store that is down must not be reported as `not run`.
        let in_progress = JobRefusal::new(ResultCode::InProgress).with_retry_after(RETRY_AFTER);
        match self.client.get_object(&key).await {
            Ok(Some(bytes)) => Ok(bytes),
            Ok(None) => Err(JobRefusal::new(ResultCode::OutcomeUnknown)),
            Err(_) => Err(in_progress),
        }
    }
}

/// An insert whose outcome is not known yet. When it is dropped, it is withdrawn in the background.
#[derive(Debug)]
struct PendingInsert(Option<ClaimRows>);

impl Drop for PendingInsert {
    fn drop(&mut self) {
        if let Some(rows) = self.0.take() {
            tokio::spawn(async move { rows.withdraw_insert().await });
        }
    }
}

const fn claim_unavailable() -> ClaimStart {
    refused(ResultCode::ClaimUnavailable)
}

const fn refused(code: ResultCode) -> ClaimStart {
    let refusal = JobRefusal::new(code);
    ClaimStart::Refused(if code.is_temporary() {
        refusal.with_retry_after(RETRY_AFTER)
    } else {
        refusal
    })
}
