use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::ids::RequestId;
use sesamedeal_core::scheduler::JobRefusal;
use sesamedeal_wire::header;

use crate::dispatch::JobAnswer;

/// Builds the answer to a job that ran.
pub(crate) fn job_answer(request: &RequestId, answer: JobAnswer) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = answer.status;
    mark(&mut response, request, ResultCode::Ok);
    response
}

/// Builds the answer to a job that was given up.
pub(crate) fn refusal_answer(request: &RequestId, refusal: JobRefusal) -> Response<Full<Bytes>> {
    let text = format!("{}\n", refusal.code);
    let mut response = plain(refusal.code.http_status(), text);
    mark(&mut response, request, refusal.code);
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_secs_f64().ceil().max(1.0);
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.0}")) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Builds an answer with a text body.
pub(crate) fn plain(status: u16, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = status;
    response
}

fn mark(response: &mut Response<Full<Bytes>>, request: &RequestId, code: ResultCode) {
    let fields = [
        (header::REQUEST_ID, request.as_str().to_owned()),
        (header::CODE, code.number().to_string()),
        (header::RUN_STATE, code.run_state().as_str().to_owned()),
    ];
    for (name, value) in fields {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response.headers_mut().insert(name, value);
        }
    }
}
