use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::ids::Generation;
use sesamedeal_core::scheduler::JobRefusal;

use std::net::SocketAddr;

use super::JobService;
use super::answers::{plain, refusal_answer};
use super::caller_body::CallerBody;
use super::request_head::{check_single, request_id};
use crate::admin::{AdminService, control_metrics};
use crate::dispatch::ReadUsage;
use crate::metrics::usage_metrics;
use crate::peer::PeerService;

/// Answers requests of callers.
#[derive(Debug, Clone)]
pub(crate) struct Router {
    pub jobs: JobService,
    pub peers: PeerService,
    pub admin: AdminService,
    /// Address of the connection's other end.
    pub remote: Option<SocketAddr>,
}

impl Router {
    /// Answers one request.
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> Response<CallerBody> {
        let path = request.uri().path();
        let queue = path
            .strip_prefix("/v1/queues/")
            .and_then(|rest| rest.strip_suffix("/jobs"))
            .filter(|queue| !queue.is_empty() && !queue.contains('/'));
        match (request.method(), path, queue) {
            (&Method::POST, _, Some(queue)) => {
                let queue = compact_str::CompactString::from(queue);
                self.run_job(&queue, request).await
            }
            (&Method::GET, "/live", _) => plain(200, "live\n"),
            (&Method::GET, "/ready", _) => self.ready(),
            (&Method::GET, "/metrics", _) => plain(200, self.metrics().await),
            _ if path.starts_with("/peer/") => {
                let response = self.peers.answer(request).await;
                response.map(CallerBody::whole)
            }
            _ if AdminService::serves(path) => {
                let response = self.admin.answer(request, self.remote).await;
                response.map(CallerBody::whole)
            }
            (_, _, Some(_)) => self.refuse_path(request.headers(), 405),
            _ => self.refuse_path(request.headers(), 404),
        }
    }

    async fn metrics(&self) -> Vec<u8> {
        let context = &self.admin.context;
        let mut text = self.jobs.metrics().render();
        text.extend(control_metrics(context));
        if let Ok(report) = context.dispatcher.send(ReadUsage).await {
            text.extend(usage_metrics(&report));
        }
        text
    }

    fn ready(&self) -> Response<CallerBody> {
        if self.jobs.runner.shutdown.is_draining() {
            plain(503, "shutting down\n")
        } else if self.jobs.view.load().generation > Generation::ZERO {
            plain(200, "ready\n")
        } else {
            plain(503, "no configuration yet\n")
        }
    }

    async fn run_job(&self, queue: &str, request: Request<Incoming>) -> Response<CallerBody> {
        let headers = request.headers();
        match check_single(headers).and_then(|()| request_id(headers)) {
            Ok(id) => self.jobs.answer(queue, id, request).await,
            Err(refusal) => self.refuse_head(refusal),
        }
    }

    fn refuse_head(&self, refusal: JobRefusal) -> Response<CallerBody> {
        self.count_refusal(refusal.code);
        let id = super::request_head::random_value();
        refusal_answer(id, refusal)
    }

    /// Refuses a path or method that does not exist.
    fn refuse_path(&self, headers: &hyper::HeaderMap, status: u16) -> Response<CallerBody> {
        self.count_refusal(ResultCode::BadRequest);
        let id = request_id(headers).unwrap_or_else(|_| super::request_head::random_value());
        let mut response = refusal_answer(id, JobRefusal::new(ResultCode::BadRequest));
        if let Ok(status) = hyper::StatusCode::from_u16(status) {
            *response.status_mut() = status;
        }
        response
    }

    /// Counts an answer that is given outside of the HTTP library.
    pub(crate) fn count_refusal(&self, code: ResultCode) {
        self.jobs.metrics().count_answer(code);
    }
}
