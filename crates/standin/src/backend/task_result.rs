use hyper::StatusCode;
use hyper::header::HeaderValue;
use sesamedeal_wire::header;

use super::backend_state::{BackendState, TaskAnswer};
use super::run_request::{RunRequest, with_ids};
use crate::http_server::{Answer, plain, truncated};

/// How a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskEnd {
    Done,
    Stopped,
    Killed,
}

/// The answer to a task that ended; none if the connection is closed instead.
pub(crate) fn task_result(state: &mut BackendState, request: &RunRequest, end: TaskEnd) -> Answer {
    let faults = state.faults;
    if faults.silent {
        return None;
    }
    if end == TaskEnd::Stopped {
        let mut response = request.failed(StatusCode::INTERNAL_SERVER_ERROR);
        let stopped = HeaderValue::from_static("stopped");
        response.headers_mut().insert(header::STATE, stopped);
        return Some(response);
    }
    if request.script.fail || faults.fail_all {
        return Some(request.failed(StatusCode::INTERNAL_SERVER_ERROR));
    }
    let own = TaskAnswer {
        request: request.request.clone(),
        attempt: request.attempt_header.clone(),
        body: request.answer(),
    };
    let before = state.last_answer.replace(own.clone());
    let answer = match before {
        _ if !faults.crossed => own,
        Some(before) if before.attempt != own.attempt => before,
        _ => TaskAnswer {
            request: HeaderValue::from_static("another-request"),
            attempt: HeaderValue::from_static("another-attempt"),
            body: own.body,
        },
    };
    let response = if faults.truncated {
        truncated(StatusCode::OK, answer.body)
    } else {
        plain(StatusCode::OK, answer.body)
    };
    Some(with_ids(response, &answer.request, &answer.attempt))
}
