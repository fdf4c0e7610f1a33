//! Sizes of HTTP/1.1 messages with their heads, for the account of control traffic.

use hyper::header::{CONTENT_LENGTH, DATE, HOST, HeaderName};
use hyper::{HeaderMap, Method, StatusCode};

/// Version and line ends of a start line, and the empty line after the headers.
const FIXED_BYTES: usize = " HTTP/1.1\r\n".len() + "\r\n".len();

/// Length of the value of a `date` header.
const DATE_BYTES: usize = "Fri, 04 Dec 2026 03:40:07 GMT".len();

/// Size in bytes of a request with a body of `body` bytes. The headers that the HTTP library adds
/// are included.
#[must_use]
pub fn request_size(
    method: &Method,
    path: &str,
    authority: &str,
    headers: &HeaderMap,
    body: usize,
) -> usize {
    let start = method.as_str().len() + 1 + path.len() + FIXED_BYTES;
    let host = added(headers, &HOST, authority.len());
    let length = if body > 0 {
        added(headers, &CONTENT_LENGTH, digits(body))
    } else {
        0
    };
    start + listed(headers) + host + length + body
}

/// Size in bytes of an answer with a body of `body` bytes. The headers that the HTTP library adds
/// are included.
#[must_use]
pub fn response_size(status: StatusCode, headers: &HeaderMap, body: usize) -> usize {
    let reason = status.canonical_reason().unwrap_or_default();
    let start = status.as_str().len() + 1 + reason.len() + FIXED_BYTES;
    let length = added(headers, &CONTENT_LENGTH, digits(body));
    let date = added(headers, &DATE, DATE_BYTES);
    start + listed(headers) + length + date + body
}

fn listed(headers: &HeaderMap) -> usize {
    let sizes = headers.iter().map(|(name, value)| line(name, value.len()));
    sizes.sum()
}

fn added(headers: &HeaderMap, name: &HeaderName, value: usize) -> usize {
    if headers.contains_key(name) {
        0
    } else {
        line(name, value)
    }
}

fn line(name: &HeaderName, value: usize) -> usize {
    name.as_str().len() + ": ".len() + value + "\r\n".len()
}

fn digits(number: usize) -> usize {
    number
        .checked_ilog10()
        .map_or(1, |digits| digits as usize + 1)
}
