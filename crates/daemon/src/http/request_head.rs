use std::str::FromStr;

use hyper::HeaderMap;
use hyper::header::{
    ACCEPT, ACCEPT_ENCODING, AUTHORIZATION, CONTENT_ENCODING, CONTENT_TYPE, HeaderName, HeaderValue,
};
use rand::RngExt;
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::scheduler::JobRefusal;
use sesamedeal_wire::header;

/// Longest request id and longest idempotency key, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Headers that may occur once only: with two values it is not clear which one counts.
const SINGLE: &[&str] = &[
    header::REQUEST_ID,
    header::CORES,
    header::MEMORY_MB,
    header::RUN_MS,
    header::DEADLINE_MS,
    header::URGENT,
    header::IDEMPOTENT,
    header::IDEMPOTENCY_KEY,
    "authorization",
];

/// Headers of the caller that are passed on to the backend server.
const PASSED_ON: &[HeaderName] = &[ACCEPT, ACCEPT_ENCODING, CONTENT_ENCODING, CONTENT_TYPE];

/// A new request id.
pub(crate) fn random_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

/// The caller's request id, or a random one if it gave none.
pub(crate) fn request_id(headers: &HeaderMap) -> Result<HeaderValue, JobRefusal> {
    match headers.get(header::REQUEST_ID) {
        Some(value) if is_id(value) => Ok(value.clone()),
        Some(_) => Err(bad_request()),
        None => Ok(random_value()),
    }
}

/// The caller's idempotency key, if it gave one.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Result<Option<&str>, JobRefusal> {
    let Some(value) = headers.get(header::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().ok().filter(|_| is_id(value));
    text.map(Some).ok_or(bad_request())
}

/// Refuses headers that occur more than once and may not.
pub(crate) fn check_single(headers: &HeaderMap) -> Result<(), JobRefusal> {
    if headers.len() == headers.keys_len() {
        return Ok(());
    }
    let is_repeated = |name: &&str| headers.get_all(*name).iter().nth(1).is_some();
    if SINGLE.iter().any(is_repeated) {
        return Err(bad_request());
    }
    Ok(())
}

/// Headers that are passed on to the backend server.
pub(crate) fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(16);
    for name in PASSED_ON {
        if let Some(value) = headers.get(name) {
            passed.insert(name.clone(), value.clone());
        }
    }
    passed
}

/// The `authorization` header as text.
pub(crate) fn authorization(headers: &HeaderMap) -> Result<&str, JobRefusal> {
    let value = headers
        .get(AUTHORIZATION)
        .ok_or(JobRefusal::new(ResultCode::MissingKey))?;
    value
        .to_str()
        .map_err(|_error| JobRefusal::new(ResultCode::InvalidKey))
}

/// A number above zero.
pub(crate) fn number<T: FromStr + Default + PartialEq>(
    headers: &HeaderMap,
    name: &str,
) -> Result<Option<T>, JobRefusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    parsed
        .filter(|number| *number != T::default())
        .map(Some)
        .ok_or(bad_request())
}

/// A flag, `0` or `1`.
pub(crate) fn flag(headers: &HeaderMap, name: &str) -> Result<bool, JobRefusal> {
    match headers.get(name).map(HeaderValue::as_bytes) {
        None | Some(b"0") => Ok(false),
        Some(b"1") => Ok(true),
        Some(_) => Err(bad_request()),
    }
}

const fn bad_request() -> JobRefusal {
    JobRefusal::new(ResultCode::BadRequest)
}

fn is_id(value: &HeaderValue) -> bool {
    let bytes = value.as_bytes();
    (1..=MAX_ID_BYTES).contains(&bytes.len()) && bytes.iter().all(u8::is_ascii_graphic)
}

/// A new request id as a header value.
pub(crate) fn random_value() -> HeaderValue {
    HeaderValue::try_from(random_id()).unwrap_or_else(|_| HeaderValue::from_static("none"))
}
