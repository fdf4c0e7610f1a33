//! How calls reach the platform.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use sesamedeal_wire::message_size::{request_size, response_size};

use crate::error::{PlatformError, Result};

/// Largest answer accepted, in bytes; a snapshot has at most 16 MB.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// One HTTP request to the platform.
#[derive(Debug, Clone)]
pub struct PlatformCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body, empty if there is none.
    pub body: Bytes,
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
    authority: String,
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
            authority: String::new(),
        }
    }

    /// Creates a transport over HTTP to an IP address and port.
    #[must_use]
    pub fn with_http(address: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        let base = format!("http://{address}");
        Self {
            authority: address.to_owned(),
            ..Self::new(move |call| send_http(http.clone(), base.clone(), call).boxed())
        }
    }

    /// Size of a call on the network, in bytes.
    pub(crate) fn size(&self, call: &PlatformCall) -> usize {
        let headers = HeaderMap::new();
        let body = call.body.len();
        request_size(&call.method, &call.path, &self.authority, &headers, body)
    }

    pub(crate) fn send(&self, call: PlatformCall) -> BoxFuture<'static, Result<PlatformReply>> {
        (self.send)(call)
    }
}

impl fmt::Debug for CallTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallTransport").finish_non_exhaustive()
    }
}

async fn send_http(
    http: Client<HttpConnector, Full<Bytes>>,
    base: String,
    call: PlatformCall,
) -> Result<PlatformReply> {
    let request = Request::builder()
        .method(call.method)
        .uri(base + &call.path)
        .body(Full::new(call.body))
        .map_err(|error| PlatformError::Unreachable {
            reason: error.to_string(),
        })?;
    let response = http.request(request).await.map_err(|error| {
        let reason = error.to_string();
        if error.is_connect() {
            PlatformError::Unreachable { reason }
        } else {
            PlatformError::NoAnswer { reason }
        }
    })?;
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER_BYTES);
    let body = body
        .collect()
        .await
        .map_err(|error| PlatformError::NoAnswer {
            reason: error.to_string(),
        })?;
    let body = body.to_bytes();
    Ok(PlatformReply {
        status: parts.status.as_u16(),
        size: response_size(parts.status, &parts.headers, body.len()),
        body,
    })
}
