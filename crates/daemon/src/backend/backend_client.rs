use std::future::poll_fn;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use sesamedeal_core::scheduler::AttemptOutcome;
use tokio::time::timeout;

use super::answer_stream::MAX_ANSWER_BYTES;
use super::backend_answer::{
    is_delimited, is_echoed, is_stopped, proven_not_started, strip_headers,
};
use super::backend_link::{BackendLink, LinkError};
use super::link_pool::LinkPool;
use super::{
    AnswerBytes, AnswerStream, AttemptCall, AttemptId, AttemptResult, AttemptStatus, BackendAnswer,
};

/// Time within which a connection is made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Deadline of a stop or status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer to a stop or status request, in bytes.
const MAX_STATUS_BYTES: usize = 1024;

/// Client for calls to backend servers.
#[derive(Debug, Clone)]
pub(crate) struct BackendClient {
    links: LinkPool,
}

impl BackendClient {
    pub(crate) fn new() -> Self {
        Self {
            links: LinkPool::new(),
        }
    }

    /// Sets the number of entry instances that share the workers' connections.
    pub(crate) fn set_sessions(&self, sessions: usize) {
        self.links.set_sessions(sessions);
    }

    /// Closes idle connections that are of no use any more.
    pub(crate) fn prune(&self, is_known: impl Fn(&str) -> bool) {
        self.links.prune(is_known);
    }

    /// Runs one attempt until its answer is complete or begins to be streamed.
    ///
    /// Dropping the future closes the connection, so that a late answer cannot reach another
    /// request.
    pub(crate) async fn run(&self, mut call: AttemptCall) -> AttemptResult {
        match self.exchange(&mut call).await {
            Ok(result) => result,
            Err(outcome) => AttemptResult::without_answer(outcome),
        }
    }

    async fn exchange(&self, call: &mut AttemptCall) -> Result<AttemptResult, AttemptOutcome> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static("/run");
        *request.headers_mut() = std::mem::take(&mut call.headers);
        let (response, link) =
            self.send(&call.address, request)
                .await
                .map_err(|error| match error {
                    LinkError::NotSent(_) => AttemptOutcome::NotStarted,
                    LinkError::Lost => AttemptOutcome::Lost,
                    LinkError::BadAnswer => AttemptOutcome::BadAnswer,
                })?;
        self.accept(call, response, link).await
    }

    async fn accept(
        &self,
        call: &AttemptCall,
        response: Response<Incoming>,
        link: BackendLink,
    ) -> Result<AttemptResult, AttemptOutcome> {
        let is_oversized = response.body().size_hint().lower() > MAX_ANSWER_BYTES;
        if !is_echoed(&response, call) || !is_delimited(&response) || is_oversized {
            return Err(AttemptOutcome::BadAnswer);
        }
        let proof = if is_stopped(&response) {
            Some(AttemptOutcome::Stopped)
        } else {
            proven_not_started(&response)
        };
        let (mut parts, body) = response.into_parts();
        let mut stream = AnswerStream::new(body, link, self.links.clone(), call.address.clone());
        let is_whole = read_inline(&mut stream, call.inline_bytes).await;
        if let Some(outcome) = proof {
            return Err(outcome);
        }
        let body = match is_whole {
            Ok(true) => AnswerBytes::Whole(stream.into_whole()),
            Ok(false) => AnswerBytes::Stream(Box::new(stream)),
            Err(_) => return Err(AttemptOutcome::BadAnswer),
        };
        strip_headers(&mut parts.headers);
        let outcome = if parts.status.is_success() {
            AttemptOutcome::Answered
        } else {
            AttemptOutcome::Failed
        };
        Ok(AttemptResult {
            outcome,
            answer: Some(BackendAnswer {
                status: parts.status,
                headers: parts.headers,
                body,
            }),
        })
    }

    /// Asks a backend server to stop an attempt.
    pub(crate) async fn stop(&self, address: &CompactString, attempt: AttemptId) -> AttemptStatus {
        self.ask(address, &Method::POST, format!("/stop/{attempt}"))
            .await
    }

    /// Asks a backend server whether an attempt is running.
    pub(crate) async fn status(
        &self,
        address: &CompactString,
        attempt: AttemptId,
    ) -> AttemptStatus {
        self.ask(address, &Method::GET, format!("/attempts/{attempt}"))
            .await
    }

    async fn ask(&self, address: &CompactString, method: &Method, path: String) -> AttemptStatus {
        let Ok(uri) = Uri::try_from(path) else {
            return AttemptStatus::NoAnswer;
        };
        let mut request = Request::new(Full::default());
        *request.method_mut() = method.clone();
        *request.uri_mut() = uri;
        if let Ok(host) = HeaderValue::from_str(address) {
            request.headers_mut().insert(HOST, host);
        }
        let exchange = async {
            let (response, link) = self.send(address, request).await.ok()?;

            let mut stream = AnswerStream::new(
                response.into_body(),
                link,
                self.links.clone(),
                address.clone(),
            );
            let is_whole = read_inline(&mut stream, MAX_STATUS_BYTES).await;
            matches!(is_whole, Ok(true)).then(|| stream.into_whole())
        };
        match timeout(STATUS_TIMEOUT, exchange).await {
            Ok(Some(text)) => AttemptStatus::with_text(&text),
            _ => AttemptStatus::NoAnswer,
        }
    }

    /// Sends a request on an idle connection, or on a new one. An idle connection that turns out
    /// to be closed before anything was written is replaced.
    async fn send(
        &self,
        address: &CompactString,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, BackendLink), LinkError> {
        while let Some(mut link) = self.links.take(address) {
            match link.send(request).await {
                Ok(response) => return Ok((response, link)),
                Err(LinkError::NotSent(unsent)) => request = *unsent,
                Err(error) => return Err(error),
            }
        }
        let Ok(target) = address.parse::<SocketAddr>() else {
            return Err(LinkError::NotSent(Box::new(request)));
        };
        let connected = timeout(CONNECT_TIMEOUT, BackendLink::connect(target)).await;
        let Ok(Some(mut link)) = connected else {
            return Err(LinkError::NotSent(Box::new(request)));
        };
        let response = link.send(request).await?;
        Ok((response, link))
    }
}

/// Reads a body until it is complete (`true`) or more than `limit` bytes were read (`false`).
async fn read_inline(
    stream: &mut AnswerStream,
    limit: usize,
) -> Result<bool, super::answer_stream::BrokenAnswer> {
    while stream.buffered() <= limit {
        match poll_fn(|context| stream.poll_read(context)).await {
            Some(Ok(part)) => stream.push(part),
            Some(Err(error)) => return Err(error),
            None => return Ok(true),
        }
    }
    Ok(false)
}
