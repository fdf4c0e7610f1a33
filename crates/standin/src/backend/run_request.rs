use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response, StatusCode};
use sesamedeal_wire::header;

use super::TaskScript;
use crate::http_server::{AnswerBody, plain};
use crate::observer::FleetEvent;

/// A request of `POST /run`.
#[derive(Debug, Clone)]
pub(crate) struct RunRequest {
    pub(crate) request: HeaderValue,
    pub(crate) attempt_header: HeaderValue,
    pub(crate) attempt: CompactString,
    pub(crate) pool: CompactString,
    pub(crate) team: CompactString,
    pub(crate) lease: Option<Duration>,
    /// Unix time in milliseconds.
    pub(crate) start_by: Option<u64>,
    pub(crate) script: TaskScript,
    pub(crate) body: Bytes,
}

impl RunRequest {
    /// Decodes a request; `number` names its attempt if the caller does not.
    pub(crate) fn new(headers: &HeaderMap, body: Bytes, number: u64) -> Self {
        let empty = || HeaderValue::from_static("");
        let value = |name: &str| headers.get(name).cloned().unwrap_or_else(empty);
        let text = |name: &str| CompactString::from_utf8_lossy(value(name).as_bytes());
        let parsed = |name: &str| text(name).parse::<u64>().ok();
        let mut attempt = text(header::ATTEMPT);
        if attempt.is_empty() {
            attempt = format_compact!("unnamed-{number}");
        }
        Self {
            request: value(header::REQUEST_ID),
            attempt_header: value(header::ATTEMPT),
            attempt,
            pool: text(header::POOL),
            team: text(header::TEAM),
            lease: parsed(header::LEASE_MS).map(Duration::from_millis),
            start_by: parsed(header::START_BY_MS),
            script: serde_json::from_slice(&body).unwrap_or_default(),
            body,
        }
    }

    /// Whether the time by which the task had to start has passed.
    pub(crate) fn is_late(&self) -> bool {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now_ms = now.map_or(0, |since| since.as_millis() as u64);
        self.start_by.is_some_and(|start_by| now_ms > start_by)
    }

    /// Slots that the task takes.
    pub(crate) fn slots(&self) -> u32 {
        self.script.slots.max(1)
    }

    /// The script's text padded to its size; the job's body when there is no script.
    pub(crate) fn answer(&self) -> Bytes {
        let script = &self.script;
        if *script == TaskScript::default() {
            return self.body.clone();
        }
        let mut answer = script.echo.clone().into_bytes();
        answer.resize(script.answer_bytes.max(answer.len()), b'.');
        answer.into()
    }

    /// The event that the task was started.
    pub(crate) fn started_event(&self, worker: CompactString, worker_slots: u32) -> FleetEvent {
        let given = |text: &str| (!text.is_empty()).then(|| text.into());
        FleetEvent::Started {
            worker,
            attempt: self.attempt.clone(),
            pool: self.pool.clone(),
            team: self.team.clone(),
            key: given(&self.script.key),
            once: given(&self.script.once),
            slots: self.slots(),
            worker_slots,
        }
    }

    /// The answer that proves that nothing ran.
    pub(crate) fn not_started(&self, state: &'static str) -> Response<AnswerBody> {
        let mut response = self.failed(StatusCode::SERVICE_UNAVAILABLE);
        let state = HeaderValue::from_static(state);
        response.headers_mut().insert(header::STATE, state);
        response
    }

    /// An answer without a body.
    pub(crate) fn failed(&self, code: StatusCode) -> Response<AnswerBody> {
        let response = plain(code, Bytes::new());
        with_ids(response, &self.request, &self.attempt_header)
    }
}

/// Adds the ids of a request to its answer.
pub(crate) fn with_ids(
    mut response: Response<AnswerBody>,
    request: &HeaderValue,
    attempt: &HeaderValue,
) -> Response<AnswerBody> {
    let headers = response.headers_mut();
    headers.insert(header::REQUEST_ID, request.clone());
    headers.insert(header::ATTEMPT, attempt.clone());
    response
}
