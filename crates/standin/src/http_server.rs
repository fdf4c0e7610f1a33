use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

/// Time in which the first part of a body is sent.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Body of a stand-in's answer.
pub(crate) type AnswerBody = BoxBody<Bytes, Infallible>;

/// Answer of a stand-in. None closes the connection without an answer.
pub(crate) type Answer = Option<Response<AnswerBody>>;

/// Bound on the connections of a server, and who is told about them.
#[derive(Clone)]
pub(crate) struct ConnectionLimit {
    pub(crate) limit: usize,
    /// Called with true when a connection is opened and with false when it is closed.
    pub(crate) on_change: Arc<dyn Fn(bool) + Send + Sync>,
}

impl ConnectionLimit {
    pub(crate) fn none() -> Self {
        Self {
            limit: usize::MAX,
            on_change: Arc::new(|_| {}),
        }
    }
}

/// A running stand-in server; it stops when the handle is dropped.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stop: Arc<Notify>,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// IP address and port that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server and closes its connections; its port is free afterwards.
    pub async fn stop(mut self) {
        self.stop.notify_one();
        // The task ends only here or by its own panic, which it has printed.
        drop((&mut self.task).await);
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Dropped;

impl fmt::Display for Dropped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for Dropped {}

/// Counts a connection for as long as it lives, also when its task is aborted.
struct OpenConnection {
    open: Arc<Mutex<usize>>,
    limit: ConnectionLimit,
}

impl OpenConnection {
    /// False if the bound is exceeded.
    fn new(open: &Arc<Mutex<usize>>, limit: &ConnectionLimit) -> (Self, bool) {
        let mut count = open.lock();
        *count += 1;
        (limit.on_change)(true);
        let connection = Self {
            open: Arc::clone(open),
            limit: limit.clone(),
        };
        (connection, *count <= limit.limit)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        *self.open.lock() -= 1;
        (self.limit.on_change)(false);
    }
}

/// Serves requests with `answer` until the handle is dropped.
pub(crate) async fn serve<F, A, B>(
    address: SocketAddr,
    limit: ConnectionLimit,
    answer: F,
) -> std::io::Result<ServerHandle>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Option<Response<B>>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let stop = Arc::new(Notify::new());
    let stopped = Arc::clone(&stop);
    let task = tokio::spawn(async move {
        let open = Arc::default();
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = stopped.notified() => break,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            while connections.try_join_next().is_some() {}
            let (connection, allowed) = OpenConnection::new(&open, &limit);
            // Without this, small answers wait for the peer's delayed acknowledgement.
            if !allowed || stream.set_nodelay(true).is_err() {
                continue;
            }
            let answer = answer.clone();
            let service = service_fn(move |request| {
                let reply = answer(request);
                async move { reply.await.ok_or(Dropped) }
            });
            connections.spawn(async move {
                let served = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(stream), service);
                // A caller that goes away is an ordinary end of its connection.
                drop(served.await);
                drop(connection);
            });
        }
        drop(listener);
        connections.shutdown().await;
    });
    Ok(ServerHandle {
        address,
        stop,
        task,
    })
}

/// An answer with a whole body.
pub(crate) fn plain(code: StatusCode, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() = code;
    response
}

/// An answer whose body ends before the length that its header announces.
pub(crate) fn truncated(code: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let announced = body.len().max(1);
    let half = body.slice(..body.len() / 2);
    // The pause lets the server send the first half before it finds that the rest is missing.
    let pause = stream::once(async {
        sleep(FLUSH_TIME).await;
        Ok(Frame::data(Bytes::new()))
    });
    let frames = stream::iter([Ok(Frame::data(half))]).chain(pause);
    let mut response = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    *response.status_mut() = code;
    let headers = response.headers_mut();
    headers.insert(CONTENT_LENGTH, announced.into());
    response
}

/// An answer in JSON.
pub(crate) fn json<T: Serialize>(value: &T) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(encoded) => plain(StatusCode::OK, encoded),
        Err(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
    }
}

/// Decodes a call in JSON and answers with the result of `handle`.
pub(crate) fn with_json<T: DeserializeOwned, R: Serialize>(
    body: &Bytes,
    handle: impl FnOnce(T) -> R,
) -> Response<AnswerBody> {
    match serde_json::from_slice(body) {
        Ok(call) => json(&handle(call)),
        Err(error) => plain(StatusCode::BAD_REQUEST, error.to_string()),
    }
}
