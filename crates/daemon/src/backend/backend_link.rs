use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Bytes that one read takes at most. An answer of usual size (10 KB) comes with one read, so that
/// its parts need not be joined. It also bounds the memory that a streamed answer takes.
const READ_BYTES: usize = 16 * 1024;

/// Why a request on a link got no answer.
#[derive(Debug)]
pub(super) enum LinkError {
    /// Nothing of the request was written; it can be sent on another connection.
    NotSent(Box<Request<Full<Bytes>>>),
    /// The request may have been received and no answer came.
    Lost,
    /// The answer is not valid HTTP or its headers are too large.
    BadAnswer,
}

/// One connection to a backend server.
///
/// The task that waits for an answer also drives the connection, which saves a change of task
/// per request. Dropping the link closes the connection.
#[derive(Debug)]
pub(super) struct BackendLink {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<TokioIo<TcpStream>, Full<Bytes>>,
    closed: bool,
}

impl BackendLink {
    /// Connects to a backend server.
    pub(super) async fn connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = Builder::new()
            .read_buf_exact_size(Some(READ_BYTES))
            .handshake(TokioIo::new(stream))
            .await
            .ok()?;
        Some(Self {
            sender,
            connection,
            closed: false,
        })
    }

    /// Whether the connection can take another request: it is open, idle, and no byte beyond the
    /// last answer has arrived.
    pub(super) fn is_reusable(&mut self) -> bool {
        let mut context = Context::from_waker(std::task::Waker::noop());
        self.poll_connection(&mut context);
        !self.closed && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    pub(super) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        let sent = self.sender.try_send_request(request);
        let mut sent = pin!(sent);
        poll_fn(|context| {
            if let Poll::Ready(result) = sent.as_mut().poll(context) {
                return Poll::Ready(result);
            }
            if !self.closed {
                self.closed = Pin::new(&mut self.connection).poll(context).is_ready();
            }
            sent.as_mut().poll(context)
        })
        .await
        .map_err(|mut error| {
            if let Some(request) = error.take_message() {
                return LinkError::NotSent(Box::new(request));
            }
            let error = error.into_error();
            if error.is_parse() || error.is_parse_too_large() {
                LinkError::BadAnswer
            } else {
                LinkError::Lost
            }
        })
    }

    /// Takes the next frame of an answer's body.
    pub(super) fn poll_frame(
        &mut self,
        body: &mut Incoming,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(context) {
            return Poll::Ready(frame);
        }
        self.poll_connection(context);
        Pin::new(body).poll_frame(context)
    }

    fn poll_connection(&mut self, context: &mut Context<'_>) {
        if !self.closed {
            self.closed = Pin::new(&mut self.connection).poll(context).is_ready();
        }
    }
}
