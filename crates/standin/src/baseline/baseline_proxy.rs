use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use hyper::body::Incoming;
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::ServerHandle;
use crate::http_server::{ConnectionLimit, serve};
use crate::loopback::check_loopback;

/// Passes each request on to the next backend server's `/run` and its answer back, unread.
///
/// It does nothing else: no keys, limits, queues or checks. It serves as the comparison for
/// throughput and added latency.
#[derive(Debug, Clone)]
pub struct BaselineProxy {
    backends: Arc<Vec<SocketAddr>>,
    next: Arc<AtomicUsize>,
    client: Client<HttpConnector, Incoming>,
}

impl BaselineProxy {
    /// Creates a proxy to backend servers, which it uses in turn.
    ///
    /// # Errors
    ///
    /// Fails when there is no backend server or one is not on loopback.
    pub fn new(backends: Vec<SocketAddr>) -> std::io::Result<Self> {
        if backends.is_empty() {
            return Err(std::io::Error::other("the proxy needs a backend server"));
        }
        for backend in &backends {
            check_loopback(*backend)?;
        }
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Ok(Self {
            backends: Arc::new(backends),
            next: Arc::default(),
            client,
        })
    }

    /// Serves on `address` until the handle is dropped.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerHandle> {
        let proxy = self.clone();
        serve(address, ConnectionLimit::none(), move |request| {
            proxy.clone().pass(request)
        })
        .await
    }

    async fn pass(self, mut request: Request<Incoming>) -> Option<Response<Incoming>> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let backend = self.backends[number % self.backends.len()];
        let uri = Uri::builder()
            .scheme("http")
            .authority(backend.to_string())
            .path_and_query("/run");
        *request.uri_mut() = uri.build().ok()?;
        self.client.request(request).await.ok()
    }
}
