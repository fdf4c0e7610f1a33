use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::scheduler::JobRefusal;
use tokio::time::timeout;

use super::body_budget::BodyAccount;
use super::caller_stream::PROGRESS_TIMEOUT;

/// Largest body of a job, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Time after which a caller may come back when the memory for bodies is used up.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// Reads a request's body. The job is queued only afterwards, so that a slow caller holds no
/// place in a queue.
pub(crate) async fn read_body(
    mut body: Incoming,
    account: &mut BodyAccount,
) -> Result<Bytes, JobRefusal> {
    let hint = body.size_hint();
    if hint.lower() > MAX_BODY_BYTES as u64 {
        return Err(JobRefusal::new(ResultCode::TooLarge));
    }
    let mut whole = BytesMut::new();
    let mut first = Bytes::new();
    while let Some(part) = next_part(&mut body).await? {
        if whole.len() + first.len() + part.len() > MAX_BODY_BYTES {
            return Err(JobRefusal::new(ResultCode::TooLarge));
        }
        if !account.take(part.len()) {
            let refusal = JobRefusal::new(ResultCode::QueueFull);
            return Err(refusal.with_retry_after(FULL_RETRY));
        }
        if first.is_empty() && whole.is_empty() {
            // A body that comes in one part is not copied.
            first = part;
            continue;
        }
        whole.extend_from_slice(&std::mem::take(&mut first));
        whole.extend_from_slice(&part);
    }
    Ok(if whole.is_empty() {
        first
    } else {
        whole.freeze()
    })
}

async fn next_part(body: &mut Incoming) -> Result<Option<Bytes>, JobRefusal> {
    loop {
        let frame = timeout(PROGRESS_TIMEOUT, body.frame())
            .await
            .map_err(|_elapsed| JobRefusal::new(ResultCode::SlowCaller))?;
        match frame {
            None => return Ok(None),
            Some(Err(_)) => return Err(JobRefusal::new(ResultCode::BadRequest)),
            Some(Ok(frame)) => {
                // Trailers of requests have no meaning here.
                if let Ok(part) = frame.into_data() {
                    return Ok(Some(part));
                }
            }
        }
    }
}
