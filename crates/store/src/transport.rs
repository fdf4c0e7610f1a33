//! How calls reach the platform.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::{Bytes, BytesMut};
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::http;
use hyper::http::uri::{Authority, Parts, PathAndQuery, Scheme};
use hyper::{HeaderMap, Method, Request, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use sesamedeal_wire::message_size::{request_size, response_size};
use tokio::time::timeout;

use crate::error::{PlatformError, Result};

/// Largest answer accepted, in bytes; a snapshot has at most 16 MB.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Time within which a connection opens. Zones are a few milliseconds apart, so that a longer wait
/// means a lost packet or a partition.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// One HTTP request to the platform.
#[derive(Debug, Clone)]
pub struct PlatformCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header lines beyond those of the HTTP library.
    pub headers: HeaderMap,
    /// Body, empty if there is none.
    pub body: Bytes,
    /// Limits of the time without progress of the answer; none if only the caller gives up.
    pub answer_limits: Option<AnswerLimits>,
}

/// Limits of the time without progress of an answer. An answer that keeps arriving over a slow link
/// takes as long as it needs.
#[derive(Debug, Clone, Copy)]
pub struct AnswerLimits {
    /// Time from the call until the head of the answer arrives.
    pub head: Duration,
    /// Time from one part of the body to the next one.
    pub part: Duration,
}

impl PlatformCall {
    /// Creates a call without further headers.
    #[must_use]
    pub fn new(method: Method, path: String, body: Bytes) -> Self {
        Self {
            method,
            path,
            headers: HeaderMap::new(),
            body,
            answer_limits: None,
        }
    }

    /// The same call with limits of the time without progress.
    #[must_use]
    pub fn with_answer_limits(self, limits: AnswerLimits) -> Self {
        let answer_limits = Some(limits);
        Self {
            answer_limits,
            ..self
        }
    }

    /// The same call with these header lines.
    #[must_use]
    pub fn with_headers(self, headers: HeaderMap) -> Self {
        Self { headers, ..self }
    }
}

/// Answer to a [`PlatformCall`].
#[derive(Debug, Clone)]
pub struct PlatformReply {
    /// HTTP status.
    pub status: u16,
    /// Whole body.
    pub body: Bytes,
    /// Size of the whole answer on the network, in bytes.
    pub size: usize,
}

type SendCall = dyn Fn(PlatformCall) -> BoxFuture<'static, Result<PlatformReply>> + Send + Sync;

/// Sends calls to the platform: over HTTP, or within the process when a closure is given.
#[derive(Clone)]
pub struct CallTransport {
    send: Arc<SendCall>,
    renew: Arc<dyn Fn() + Send + Sync>,
    authority: Arc<str>,
}

impl CallTransport {
    /// Creates a transport from a closure.
    ///
    /// The closure returns [`PlatformError::Unreachable`] only when the call had no effect, and
    /// [`PlatformError::NoAnswer`] when it may have had one.
    #[must_use]
    pub fn new<F>(send: F) -> Self
    where
        F: Fn(PlatformCall) -> BoxFuture<'static, Result<PlatformReply>> + Send + Sync + 'static,
    {
        Self {
            send: Arc::new(send),
            renew: Arc::new(|| {}),
            authority: Arc::default(),
        }
    }

    /// Creates a transport over HTTP to an IP address and port.
    #[must_use]
    pub fn with_http(address: &str) -> Self {
        let http = Arc::new(ArcSwap::from_pointee(http_client()));
        // Parsed once. A call to an address that is none fails like one to an unreachable service.
        let base: Option<Authority> = address.parse().ok();
        let renewed = Arc::clone(&http);
        Self {
            authority: address.into(),
            renew: Arc::new(move || renewed.store(Arc::new(http_client()))),
            ..Self::new(move |call| send_http(http.load_full(), base.clone(), call).boxed())
        }
    }

    /// Abandons the open connections, so that the next call opens a new one.
    ///
    /// A connection that went silent without a reset is noticed only by its deadline, and others
    /// of the pool may have gone silent with it.
    pub fn renew(&self) {
        (self.renew)();
    }

    /// Size of a call on the network, in bytes.
    pub(crate) fn size(&self, call: &PlatformCall) -> usize {
        let body = call.body.len();
        request_size(
            &call.method,
            &call.path,
            &self.authority,
            &call.headers,
            body,
        )
    }

    /// Sends a call. There is no deadline; the caller drops the future when it gives up.
    pub fn send(&self, call: PlatformCall) -> BoxFuture<'static, Result<PlatformReply>> {
        (self.send)(call)
    }
}

impl fmt::Debug for CallTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallTransport").finish_non_exhaustive()
    }
}

fn http_client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .build(connector)
}

fn call_uri(authority: Option<Authority>, path: String) -> http::Result<Uri> {
    let mut parts = Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = authority;
    parts.path_and_query = Some(PathAndQuery::try_from(path)?);
    Ok(Uri::from_parts(parts)?)
}

async fn send_http(
    http: Arc<Client<HttpConnector, Full<Bytes>>>,
    authority: Option<Authority>,
    call: PlatformCall,
) -> Result<PlatformReply> {
    let uri = call_uri(authority, call.path).map_err(|error| PlatformError::Unreachable {
        reason: error.to_string(),
    })?;
    let limits = call.answer_limits;
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = uri;
    *request.headers_mut() = call.headers;
    let response = within(limits.map(|limits| limits.head), http.request(request)).await?;
    let response = response.map_err(|error| {
        let reason = error.to_string();
        if error.is_connect() {
            PlatformError::Unreachable { reason }
        } else {
            PlatformError::NoAnswer { reason }
        }
    })?;
    let (parts, body) = response.into_parts();
    let mut body = Limited::new(body, MAX_ANSWER_BYTES);
    let mut received = BytesMut::new();
    while let Some(frame) = within(limits.map(|limits| limits.part), body.frame()).await? {
        let frame = frame.map_err(|error| PlatformError::NoAnswer {
            reason: error.to_string(),
        })?;
        if let Ok(data) = frame.into_data() {
            received.extend_from_slice(&data);
        }
    }
    let body = received.freeze();
    Ok(PlatformReply {
        status: parts.status.as_u16(),
        size: response_size(parts.status, &parts.headers, body.len()),
        body,
    })
}

/// Waits for a part of an answer, for at most `limit`.
async fn within<T>(limit: Option<Duration>, part: impl Future<Output = T>) -> Result<T> {
    let Some(limit) = limit else {
        return Ok(part.await);
    };
    timeout(limit, part)
        .await
        .map_err(|_elapsed| PlatformError::NoAnswer {
            reason: format!("nothing arrived for {} ms", limit.as_millis()),
        })
}
