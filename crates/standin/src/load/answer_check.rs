use hyper::{HeaderMap, StatusCode};
use sesamedeal_core::code::ResultCode;
use sesamedeal_wire::header;

/// What a caller may make of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// The whole answer of the caller's own task, with its code.
    Succeeded(u16),
    /// A consistent answer with another code; 0 if there is none.
    Rejected(u16),
    /// No whole answer.
    Lost,
    /// The answer carries the id of another request.
    WrongRequest,
    /// The body is not the task's.
    WrongBody,
    /// Status, code and run state contradict each other.
    WrongCode,
}

/// Checks an answer against the request's id and the body that its task returns.
///
/// Without `expect_codes` the status takes the place of the code, as behind a plain pass-through.
#[must_use]
pub fn check_answer(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
    request: &str,
    expected: &[u8],
    expect_codes: bool,
) -> AnswerVerdict {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text(header::REQUEST_ID) != Some(request) {
        return AnswerVerdict::WrongRequest;
    }
    if !expect_codes {
        return match status {
            StatusCode::OK if body == expected => AnswerVerdict::Succeeded(0),
            StatusCode::OK => AnswerVerdict::WrongBody,
            _ => AnswerVerdict::Rejected(0),
        };
    }
    let number = text(header::CODE).and_then(|code| code.parse().ok());
    let Some(code) = number.and_then(ResultCode::from_number) else {
        return AnswerVerdict::WrongCode;
    };
    let is_consistent = text(header::RUN_STATE) == Some(code.run_state().as_str())
        && status.as_u16() == code.http_status();
    match code {
        _ if !is_consistent => AnswerVerdict::WrongCode,
        ResultCode::Ok if body == expected => AnswerVerdict::Succeeded(code.number()),
        ResultCode::Ok => AnswerVerdict::WrongBody,
        _ => AnswerVerdict::Rejected(code.number()),
    }
}
