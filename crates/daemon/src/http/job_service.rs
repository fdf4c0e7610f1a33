use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use sesamedeal_core::claims::{RecordedResponse, request_fingerprint};
use sesamedeal_core::code::{ResultCode, RunState};
use sesamedeal_core::ids::{Generation, QueueName, RequestId};
use sesamedeal_core::scheduler::{JobRefusal, JobSpec};
use slog::{debug, warn};
use tokio::time::Instant;

use super::BodyBudget;
use super::answers::{job_answer, refusal_answer};
use super::body_reader::read_body;
use super::caller_body::CallerBody;
use super::job_request::job_spec;
use super::request_head::{idempotency_key, passed_on};
use crate::claims::{ClaimDesk, ClaimRequest, ClaimStart, HeldClaim};
use crate::dispatch::{JobAnswer, JobBody, JobInput, JobRunner};
use crate::metrics::RequestMetrics;
use crate::store::FleetView;

/// Largest answer that is read into memory before it is passed on, in bytes. A smaller answer
/// that breaks becomes a numbered error; a larger one is broken off.
const INLINE_BYTES: usize = 64 * 1024;

/// Largest answer that is recorded for repeats of its request, in bytes.
const MAX_RECORDED_BYTES: usize = 16 * 1024 * 1024;

/// Delay after which a caller may come back while the state is not current.
const STALE_RETRY: Duration = Duration::from_secs(1);

/// Takes jobs from callers.
#[derive(Debug, Clone)]
pub(crate) struct JobService {
    pub view: FleetView,
    pub runner: JobRunner,
    pub claims: ClaimDesk,
    pub budget: BodyBudget,
    /// Deadline of a job whose caller names none.
    pub default_deadline: Duration,
    /// Jobs that callers wait for.
    pub open: Arc<AtomicUsize>,
}

/// Counts a job as open until its answer is ready or its caller has gone.
#[derive(Debug)]
struct OpenJob {
    open: Arc<AtomicUsize>,
    metrics: RequestMetrics,
    is_answered: bool,
}

impl Drop for OpenJob {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
        if !self.is_answered {
            self.metrics.count_answer(ResultCode::CallerGone);
        }
    }
}

impl JobService {
    pub(crate) const fn metrics(&self) -> &RequestMetrics {
        &self.runner.parts.metrics
    }

    /// Runs a job and builds the answer to its caller.
    pub(crate) async fn answer(
        &self,
        queue: &str,
        id: HeaderValue,
        request: Request<Incoming>,
    ) -> Response<CallerBody> {
        let begin = Instant::now();
        self.open.fetch_add(1, Ordering::AcqRel);
        let mut open = OpenJob {
            open: Arc::clone(&self.open),
            metrics: self.metrics().clone(),
            is_answered: false,
        };
        let result = self.run(queue, &id, request).await;
        open.is_answered = true;
        self.metrics().observe_request(begin.elapsed());
        match result {
            Ok(answer) => {
                self.metrics().count_answer(ResultCode::Ok);
                job_answer(id, answer)
            }
            Err(refusal) => {
                self.report(queue, &id, refusal);
                refusal_answer(id, refusal)
            }
        }
    }

    fn report(&self, queue: &str, id: &HeaderValue, refusal: JobRefusal) {
        self.metrics().count_answer(refusal.code);
        let logger = &self.runner.parts.logger;
        let request = id.to_str().unwrap_or_default();
        let code = refusal.code.number();
        if refusal.code.run_state() == RunState::Unknown {
            warn!(logger, "job ended without a known outcome"; "request" => request, "queue" => queue, "code" => code);
        } else {
            debug!(logger, "job refused"; "request" => request, "queue" => queue, "code" => code);
        }
    }

    async fn run(
        &self,
        queue: &str,
        id: &HeaderValue,
        request: Request<Incoming>,
    ) -> Result<JobAnswer, JobRefusal> {
        let headers = request.headers();
        let key = idempotency_key(headers)?.map(compact_str::CompactString::from);
        let spec = self.spec(queue, id, headers)?;
        let headers = passed_on(headers);
        let mut account = self.budget.account();
        let body = read_body(request.into_body(), &mut account).await?;
        // The state may have changed while the body came in.
        self.check_open(&spec)?;
        let input = JobInput {
            spec,
            request: id.clone(),
            headers,
            body,
            inline_bytes: INLINE_BYTES,
            sent: Arc::new(AtomicBool::new(false)),
        };
        match key {
            Some(key) if !input.spec.idempotent => self.run_claimed(queue, &key, input).await,
            _ => self.runner.run(&input).await,
        }
    }

    fn spec(
        &self,
        queue: &str,
        id: &HeaderValue,
        headers: &HeaderMap,
    ) -> Result<JobSpec, JobRefusal> {
        if self.runner.shutdown.is_draining() {
            return Err(JobRefusal::new(ResultCode::ShuttingDown).with_retry_after(STALE_RETRY));
        }
        let state = self.view.load();
        if state.generation == Generation::ZERO {
            return Err(JobRefusal::new(ResultCode::NotReady).with_retry_after(STALE_RETRY));
        }
        let request = RequestId::new(id.to_str().unwrap_or_default());
        let now = self.runner.now();
        let spec = job_spec(headers, queue, request, &state, now, self.default_deadline)?;
        self.check_open(&spec)?;
        Ok(spec)
    }

    /// Refuses a job that must not be queued now.
    fn check_open(&self, spec: &JobSpec) -> Result<(), JobRefusal> {
        let evidence = &self.runner.parts.evidence;
        let now = self.runner.now();
        let is_current = if spec.key.is_some() {
            evidence.allows_keyed(now)
        } else {
            evidence.allows_dispatch(now)
        };
        let code = if self.runner.shutdown.is_draining() {
            ResultCode::ShuttingDown
        } else if is_current {
            return Ok(());
        } else {
            ResultCode::StaleState
        };
        Err(JobRefusal::new(code).with_retry_after(STALE_RETRY))
    }

    /// Runs a job that is executed at most once under its idempotency key.
    async fn run_claimed(
        &self,
        queue: &str,
        key: &str,
        mut input: JobInput,
    ) -> Result<JobAnswer, JobRefusal> {
        let request = ClaimRequest {
            team: &input.spec.team,
            idempotency_key: key,
            fingerprint: request_fingerprint(&QueueName::new(queue), &input.body),
        };
        let claim = match self.claims.begin(&request).await {
            ClaimStart::Held(claim) => claim,
            ClaimStart::Recorded(response) => return self.recorded(response).await,
            ClaimStart::Refused(refusal) => return Err(refusal),
        };
        input.inline_bytes = MAX_RECORDED_BYTES;
        input.sent = claim.sent();
        let result = self.runner.run(&input).await;
        settle(*claim, &result).await;
        result
    }

    async fn recorded(&self, response: RecordedResponse) -> Result<JobAnswer, JobRefusal> {
        let mut headers = HeaderMap::new();
        if let Some(value) = response.content_type
            && let Ok(value) = HeaderValue::from_str(&value)
        {
            headers.insert(CONTENT_TYPE, value);
        }
        let body: Bytes = self.claims.recorded_body(response.body).await?;
        Ok(JobAnswer {
            status: StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK),
            headers,
            body: JobBody::Whole(body),
        })
    }
}

/// Records how a claimed request ended.
async fn settle(claim: HeldClaim, result: &Result<JobAnswer, JobRefusal>) {
    match result {
        Ok(JobAnswer {
            status,
            headers,
            body: JobBody::Whole(body),
        }) => {
            let content_type = headers
                .get(CONTENT_TYPE)
                .and_then(|text| text.to_str().ok());
            claim
                .finish(status.as_u16(), content_type, body.clone())
                .await;
        }
        // An answer that is too large to be recorded cannot be repeated.
        Ok(_) => claim.record_lost_outcome(),
        Err(refusal) if refusal.code.run_state() == RunState::NotRun => claim.release(),
        Err(_) => claim.record_lost_outcome(),
    }
}
