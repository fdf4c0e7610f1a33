use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// Answer of a stand-in. None closes the connection without an answer.
pub(crate) type Answer = Option<Response<Full<Bytes>>>;

/// A running stand-in server; it stops when the handle is dropped.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// IP address and port that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Dropped;

impl std::fmt::Display for Dropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for Dropped {}

/// Serves requests with `answer` until the handle is dropped.
pub(crate) async fn serve<F, A>(address: SocketAddr, answer: F) -> std::io::Result<ServerHandle>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            while connections.try_join_next().is_some() {}
            let answer = answer.clone();
            let service = service_fn(move |request| {
                let reply = answer(request);
                async move { reply.await.ok_or(Dropped) }
            });
            connections.spawn(async move {
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .serve_connection(TokioIo::new(stream), service);
                // A caller that goes away is an ordinary end of its connection.
                drop(connection.await);
                Ok::<(), Infallible>(())
            });
        }
    });
    Ok(ServerHandle { address, task })
}
