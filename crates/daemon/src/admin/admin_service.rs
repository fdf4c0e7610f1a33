use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::ids::Generation;
use sesamedeal_core::membership::SessionState;
use sesamedeal_store::rows::SESSION_PREFIX;
use sesamedeal_wire::admin::{AppendRequest, HistoryReply, InForceReply, PlanContext};
use sesamedeal_wire::header;
use slog::warn;

use super::change_append::append;
use super::operator_check::is_operator;
use super::status_report::status;
use crate::clock::day_time;
use crate::entry_context::EntryContext;
use crate::session::session_rows;

/// Largest body of an operator's request, in bytes. A sheet of the target size has about 5 MB.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Records that the history shows.
const HISTORY_RECORDS: u64 = 100;

/// Answer to an operator: a JSON body, or a code with an explanation.
pub(super) type AdminResult = Result<Bytes, AdminRefusal>;

/// Refusal of an operator's request.
#[derive(Debug)]
pub(super) struct AdminRefusal {
    pub code: ResultCode,
    pub text: String,
    /// Whether the request may have taken effect.
    pub is_unknown: bool,
}

impl AdminRefusal {
    pub(super) fn new(code: ResultCode, text: impl Into<String>) -> Self {
        Self {
            code,
            text: text.into(),
            is_unknown: false,
        }
    }

    /// The table service did not answer, and nothing was changed.
    pub(super) fn store(error: &sesamedeal_store::PlatformError) -> Self {
        Self::new(ResultCode::StoreUnavailable, error.to_string())
    }
}

/// Answers requests of operators.
#[derive(Debug, Clone)]
pub(crate) struct AdminService {
    pub context: Arc<EntryContext>,
}

impl AdminService {
    /// Whether a path belongs to the operators' interface.
    pub(crate) fn serves(path: &str) -> bool {
        path == "/status" || path.starts_with("/admin/")
    }

    /// Answers a request that came from `remote`.
    pub(crate) async fn answer<B>(
        &self,
        request: Request<B>,
        remote: Option<SocketAddr>,
    ) -> Response<Bytes>
    where
        B: hyper::body::Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let settings = &self.context.settings;
        let key_hash = settings.operator_key_sha256.as_ref();
        if !is_operator(key_hash, request.headers(), remote) {
            warn!(self.context.logger, "operator call refused"; "path" => request.uri().path());
            let text = "an operator key is needed";
            return refused(&AdminRefusal::new(ResultCode::InvalidKey, text));
        }
        match self.route(request).await {
            Ok(body) => accepted(body),
            Err(refusal) => refused(&refusal),
        }
    }

    async fn route<B>(&self, request: Request<B>) -> AdminResult
    where
        B: hyper::body::Body<Data = Bytes>,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/status") => json(&status(&self.context).await),
            (&Method::GET, "/admin/state") => json(&*self.context.keeper.state()),
            (&Method::GET, "/admin/history") => self.history().await,
            (&Method::GET, "/admin/plan-context") => json(&self.plan_context()),
            (&Method::POST, "/admin/changes") => {
                let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
                let body = body
                    .await
                    .map_err(|error| AdminRefusal::new(ResultCode::TooLarge, error.to_string()))?;
                let change: AppendRequest =
                    serde_json::from_slice(&body.to_bytes()).map_err(|error| {
                        AdminRefusal::new(ResultCode::BadRequest, error.to_string())
                    })?;
                json(&append(&self.context, change).await?)
            }
            (&Method::GET, path) => match path.strip_prefix("/admin/in-force/") {
                Some(generation) => self.in_force(generation).await,
                None => Err(unknown_path()),
            },
            _ => Err(unknown_path()),
        }
    }

    fn plan_context(&self) -> PlanContext {
        let settings = &self.context.settings;
        PlanContext {
            now: day_time(settings.utc_offset_minutes),
            policy: settings.plan_policy(),
        }
    }

    async fn history(&self) -> AdminResult {
        let head = self.context.keeper.state().generation;
        let after = Generation(head.0.saturating_sub(HISTORY_RECORDS));
        let records = self.context.log.records_after(after).await;
        let records = records.map_err(|error| AdminRefusal::store(&error))?;
        json(&HistoryReply { records })
    }

    async fn in_force(&self, generation: &str) -> AdminResult {
        let generation = generation.parse().map(Generation).map_err(|_error| {
            AdminRefusal::new(ResultCode::BadRequest, "the generation is not a number")
        })?;
        let sessions = session_rows(&self.context.client).await;
        let sessions = sessions.map_err(|error| AdminRefusal::store(&error))?;
        let view = &self.context.keeper.state().view;
        let mut outstanding: Vec<CompactString> = sessions
            .iter()
            .filter(|row| row.state != SessionState::Left && row.applied < generation)
            .map(|row| row.address.clone())
            .collect();
        for session in &view.sessions {
            if !sessions.iter().any(|row| row.session == *session) {
                outstanding.push(CompactString::from(format!("{SESSION_PREFIX}{session}")));
            }
        }
        json(&InForceReply {
            generation,
            in_force: outstanding.is_empty() && !sessions.is_empty(),
            settled: self.context.keeper.settled() >= generation,
            outstanding,
        })
    }
}

fn unknown_path() -> AdminRefusal {
    AdminRefusal::new(ResultCode::BadRequest, "no such operator call")
}

fn json<T: serde::Serialize>(value: &T) -> AdminResult {
    let encoded = serde_json::to_vec(value);
    encoded
        .map(Bytes::from)
        .map_err(|error| AdminRefusal::new(ResultCode::BadRequest, error.to_string()))
}

fn accepted(body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    let code = HeaderValue::from(ResultCode::Ok.number());
    response.headers_mut().insert(header::CODE, code);
    response
}

fn refused(refusal: &AdminRefusal) -> Response<Bytes> {
    let code = refusal.code;
    let text = format!("{code}: {}\n", refusal.text);
    let mut response = Response::new(Bytes::from(text));
    let status = StatusCode::from_u16(code.http_status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let run_state = if refusal.is_unknown {
        "unknown"
    } else {
        code.run_state().as_str()
    };
    let headers = response.headers_mut();
    headers.insert(header::CODE, HeaderValue::from(code.number()));
    headers.insert(header::RUN_STATE, HeaderValue::from_static(run_state));
    response
}
