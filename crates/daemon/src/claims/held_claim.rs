use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use sesamedeal_core::claims::{
    ClaimHolder, ClaimStep, RecordedResponse, ResponseBody, WriteOutcome,
};

use super::claim_rows::ClaimRows;

/// Largest response that is kept in the row itself, in bytes.
const INLINE_BYTES: usize = 16 * 1024;

/// Claim of a request that this entry instance runs.
///
/// When it is dropped without a result, the claim is released if the request was never sent, and
/// marked as unknown otherwise.
#[derive(Debug)]
pub(crate) struct HeldClaim {
    holder: Option<ClaimHolder>,
    rows: ClaimRows,
    sent: Arc<AtomicBool>,
}

impl HeldClaim {
    pub(super) fn new(holder: ClaimHolder, rows: ClaimRows) -> Self {
        Self {
            holder: Some(holder),
            rows,
            sent: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Mark that is set before the request is sent to a backend server.
    pub(crate) fn sent(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.sent)
    }

    /// Records the response. If the store does not answer within its deadline, the caller is not
    /// kept waiting and the recording goes on in the background.
    pub(crate) async fn finish(mut self, status: u16, content_type: Option<&str>, body: Bytes) {
        let Some(mut holder) = self.holder.take() else {
            return;
        };
        let rows = self.rows.clone();
        let content_type = content_type.map(Into::into);
        if body.len() > INLINE_BYTES {
            let response = RecordedResponse {
                status,
                content_type,
                body: ResponseBody::Object(rows.object_key()),
            };
            tokio::spawn(async move {
                let step = match rows.put_response(body).await {
                    Ok(()) => holder.record_response(response),
                    Err(_) => holder.record_lost_outcome(),
                };
                complete(step, rows).await;
            });
            return;
        }
        let step = holder.record_response(RecordedResponse {
            status,
            content_type,
            body: ResponseBody::Inline(body.into()),
        });
        // The write goes on when the caller closes its connection meanwhile.
        let recording = tokio::spawn(async move {
            if let ClaimStep::Write(write) = &step
                && rows.perform(write).await == WriteOutcome::Lost
            {
                tokio::spawn(complete(step, rows));
            }
        });
        // A panic has already been reported by the runtime.
        drop(recording.await);
    }

    /// Releases the claim of a request that is proven not to have started.
    pub(crate) fn release(mut self) {
        self.end(ClaimHolder::release);
    }

    /// Marks the request as sent with an unknown outcome.
    pub(crate) fn record_lost_outcome(mut self) {
        self.end(ClaimHolder::record_lost_outcome);
    }

    fn end(&mut self, step: impl FnOnce(&mut ClaimHolder) -> ClaimStep) {
        if let Some(mut holder) = self.holder.take() {
            tokio::spawn(complete(step(&mut holder), self.rows.clone()));
        }
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        if self.sent.load(Ordering::Acquire) {
            self.end(ClaimHolder::record_lost_outcome);
        } else {
            self.end(ClaimHolder::release);
        }
    }
}

async fn complete(step: ClaimStep, rows: ClaimRows) {
    if let ClaimStep::Write(write) = step {
        rows.perform_until_known(&write).await;
    }
}
