use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use rand::RngExt;
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::ids::{Generation, RequestId};
use sesamedeal_core::scheduler::JobRefusal;
use sesamedeal_wire::header;

use std::net::SocketAddr;

use super::answers::{job_answer, plain, refusal_answer};
use super::job_request::job_spec;
use crate::admin::AdminService;
use crate::dispatch::JobRunner;
use crate::peer::PeerService;
use crate::store::FleetView;

/// Largest body of a job, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Answers requests of callers.
#[derive(Debug, Clone)]
pub(crate) struct Router {
    pub view: FleetView,
    pub runner: JobRunner,
    pub peers: PeerService,
    pub admin: AdminService,
    /// Address of the connection's other end.
    pub remote: Option<SocketAddr>,
}

impl Router {
    /// Answers one request.
    pub(crate) async fn answer(self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let queue = path
            .strip_prefix("/v1/queues/")
            .and_then(|rest| rest.strip_suffix("/jobs"));
        match (request.method(), path.as_str(), queue) {
            (&Method::POST, _, Some(queue)) => self.run_job(queue, request).await,
            _ if path.starts_with("/peer/") => self.peers.answer(request).await,
            _ if AdminService::serves(&path) => self.admin.answer(request, self.remote).await,
            (&Method::GET, "/live", _) => plain(200, "live\n"),
            (&Method::GET, "/ready", _) => self.ready(),
            _ => plain(404, "not found\n"),
        }
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        if self.admin.context.is_ready() {
            plain(200, "ready\n")
        } else {
            plain(503, "no configuration yet\n")
        }
    }

    async fn run_job(&self, queue: &str, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let id = request_id(&request);
        match self.try_job(queue, &id, request).await {
            Ok(response) => response,
            Err(refusal) => refusal_answer(&id, refusal),
        }
    }

    async fn try_job(
        &self,
        queue: &str,
        id: &RequestId,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, JobRefusal> {
        let state = self.view.load_full();
        if state.generation == Generation::ZERO {
            return Err(JobRefusal::new(ResultCode::NotReady));
        }
        let now = self.runner.clock.now();
        let spec = job_spec(request.headers(), queue, id, &state, now)?;
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|_error| JobRefusal::new(ResultCode::TooLarge))?;
        let answer = self.runner.run(spec, body.to_bytes()).await?;
        Ok(job_answer(id, answer))
    }
}

/// The caller's request id, or a random one.
fn request_id(request: &Request<Incoming>) -> RequestId {
    let given = request.headers().get(header::REQUEST_ID);
    match given.and_then(|value| value.to_str().ok()) {
        Some(text) if !text.is_empty() && text.len() <= 64 => RequestId::new(text),
        _ => RequestId::new(format!("{:032x}", rand::rng().random::<u128>())),
    }
}
