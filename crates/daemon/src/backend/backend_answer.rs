use bytes::Bytes;
use hyper::header::{self as http_header, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use sesamedeal_core::scheduler::AttemptOutcome;
use sesamedeal_wire::header;

use super::{AnswerStream, AttemptCall};

/// Largest size of an answer's headers, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// Headers that concern a single connection or are set by the entry instance itself.
const OWN_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "date",
    header::ATTEMPT,
    header::REQUEST_ID,
    header::CODE,
    header::RUN_STATE,
    header::STATE,
];

/// Body of a backend server's answer.
#[derive(Debug)]
pub(crate) enum AnswerBytes {
    /// The whole body.
    Whole(Bytes),
    /// The body while it arrives.
    Stream(Box<AnswerStream>),
}

/// A backend server's answer to one attempt.
#[derive(Debug)]
pub(crate) struct BackendAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: AnswerBytes,
}

/// Outcome of one attempt, with the answer if there is one to pass on.
#[derive(Debug)]
pub(crate) struct AttemptResult {
    pub outcome: AttemptOutcome,
    pub answer: Option<BackendAnswer>,
}

impl AttemptResult {
    pub(super) const fn without_answer(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            answer: None,
        }
    }
}

/// Whether the answer belongs to this request and this attempt.
pub(super) fn is_echoed<B>(response: &Response<B>, call: &AttemptCall) -> bool {
    let headers = response.headers();
    headers.get(header::REQUEST_ID) == Some(&call.request)
        && headers.get(header::ATTEMPT) == Some(&call.attempt)
}

/// Whether the end of the answer's body can be told from a broken connection, and its headers are
/// within the bound.
pub(super) fn is_delimited<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    let is_empty = matches!(
        response.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let is_framed = headers.contains_key(http_header::CONTENT_LENGTH)
        || headers
            .get(http_header::TRANSFER_ENCODING)
            .is_some_and(is_chunked);
    size <= MAX_HEADER_BYTES && (is_empty || is_framed)
}

fn is_chunked(value: &HeaderValue) -> bool {
    value.as_bytes().to_ascii_lowercase().ends_with(b"chunked")
}

/// Outcome that the answer proves, if it says that nothing was started.
pub(super) fn proven_not_started<B>(response: &Response<B>) -> Option<AttemptOutcome> {
    if response.status() != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    match response.headers().get(header::STATE)?.as_bytes() {
        b"not-started" => Some(AttemptOutcome::NotStarted),
        b"draining" => Some(AttemptOutcome::Draining),
        _ => None,
    }
}

/// Whether the answer confirms that the task was stopped on request or at the end of its lease.
pub(super) fn is_stopped<B>(response: &Response<B>) -> bool {
    let state = response.headers().get(header::STATE);
    !response.status().is_success() && state.is_some_and(|state| state.as_bytes() == b"stopped")
}

/// Removes the headers that are not passed on to the caller.
pub(super) fn strip_headers(headers: &mut HeaderMap) {
    for name in OWN_HEADERS {
        headers.remove(*name);
    }
}
