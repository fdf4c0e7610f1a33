use std::time::Duration;

use compact_str::format_compact;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::scheduler::JobRefusal;
use sesamedeal_wire::header;

use super::caller_body::CallerBody;
use crate::dispatch::JobAnswer;

const REQUEST_ID: HeaderName = HeaderName::from_static(header::REQUEST_ID);
const CODE: HeaderName = HeaderName::from_static(header::CODE);
const RUN_STATE: HeaderName = HeaderName::from_static(header::RUN_STATE);
const RETRY_AFTER: HeaderName = HeaderName::from_static(header::RETRY_AFTER);

/// Time after which a caller may come back after a temporary refusal that names no other.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Builds the answer to a job that ran.
pub(crate) fn job_answer(request: HeaderValue, answer: JobAnswer) -> Response<CallerBody> {
    let mut response = Response::new(CallerBody::new(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    mark(&mut response, request, ResultCode::Ok);
    response
}

/// Builds the answer to a job that was given up.
pub(crate) fn refusal_answer(request: HeaderValue, refusal: JobRefusal) -> Response<CallerBody> {
    let mut response = plain(refusal.code.http_status(), refusal_text(refusal.code));
    mark(&mut response, request, refusal.code);
    let delay = refusal.retry_after;
    let delay = delay.or(refusal.code.is_temporary().then_some(DEFAULT_RETRY));
    if let Some(delay) = delay {
        let seconds = HeaderValue::from(whole_seconds(delay));
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

/// Text body of a refusal.
pub(crate) fn refusal_text(code: ResultCode) -> String {
    format!("{code}\n")
}

/// Builds an answer with a text body.
pub(crate) fn plain(status: u16, text: impl Into<bytes::Bytes>) -> Response<CallerBody> {
    let mut response = Response::new(CallerBody::whole(text));
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn whole_seconds(delay: Duration) -> u64 {
    let rounds_up = u64::from(delay.subsec_nanos() > 0);
    (delay.as_secs() + rounds_up).max(1)
}

fn mark(response: &mut Response<CallerBody>, request: HeaderValue, code: ResultCode) {
    let headers = response.headers_mut();
    headers.insert(REQUEST_ID, request);
    headers.insert(CODE, HeaderValue::from(code.number()));
    let state = HeaderValue::from_static(code.run_state().as_str());
    headers.insert(RUN_STATE, state);
}

/// Text of a whole answer outside of the HTTP library, after which the connection is closed.
pub(crate) fn raw_answer(request: &str, code: ResultCode) -> String {
    let body = refusal_text(code);
    let status = code.http_status();
    let reason = StatusCode::from_u16(status)
        .ok()
        .and_then(|status| status.canonical_reason());
    let state = code.run_state().as_str();
    [
        format_compact!("HTTP/1.1 {status} {}\r\n", reason.unwrap_or("Error")),
        format_compact!("{}: {request}\r\n", header::REQUEST_ID),
        format_compact!("{}: {}\r\n", header::CODE, code.number()),
        format_compact!("{}: {state}\r\n", header::RUN_STATE),
        format_compact!("content-type: text/plain; charset=utf-8\r\n"),
        format_compact!("content-length: {}\r\n", body.len()),
        format_compact!("connection: close\r\n\r\n{body}"),
    ]
    .concat()
}
