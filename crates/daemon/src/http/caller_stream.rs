use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::caller_phase::CallerPhase;

/// Time within which a caller has to send its headers, and has to take a part of its answer.
pub(crate) const PROGRESS_TIMEOUT: Duration = Duration::from_secs(10);

/// Time that a connection may be idle between two requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Timer that is set on the first wait and cleared by progress.
#[derive(Debug, Default)]
struct StallTimer {
    sleep: Option<Pin<Box<Sleep>>>,
    is_set: bool,
}

impl StallTimer {
    fn poll(&mut self, timeout: Duration, context: &mut Context<'_>) -> Poll<()> {
        let deadline = Instant::now() + timeout;
        let sleep = self
            .sleep
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if !self.is_set {
            self.is_set = true;
            sleep.as_mut().reset(deadline);
        }
        sleep.as_mut().poll(context)
    }

    const fn clear(&mut self) {
        self.is_set = false;
    }
}

/// A caller's connection. It ends when the caller makes no progress, and it holds back the
/// answers that the HTTP library makes up itself, because they have no result code.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    phase: CallerPhase,
    read_timer: StallTimer,
    write_timer: StallTimer,
    has_begun: bool,
    is_slow: bool,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, phase: CallerPhase) -> Self {
        Self {
            stream,
            phase,
            read_timer: StallTimer::default(),
            write_timer: StallTimer::default(),
            has_begun: false,
            is_slow: false,
        }
    }

    /// Whether the connection was ended because the caller made no progress in a request.
    pub(crate) const fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// The connection itself, for an answer outside of the HTTP library.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn check_write<T>(&mut self, result: Poll<T>, context: &mut Context<'_>) -> Poll<Result<T>> {
        if let Poll::Ready(value) = result {
            self.write_timer.clear();
            return Poll::Ready(Ok(value));
        }
        if self.write_timer.poll(PROGRESS_TIMEOUT, context).is_ready() {
            self.is_slow = true;
            return Poll::Ready(Err(Error::from(ErrorKind::TimedOut)));
        }
        Poll::Pending
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let is_waiting = self.phase.is_waiting();
        if let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(context, buffer) {
            if is_waiting && !self.has_begun && buffer.filled().len() > before {
                // All of the headers have to come within the time from their first byte.
                self.has_begun = true;
                self.read_timer.clear();
            }
            return Poll::Ready(result);
        }
        if !is_waiting {
            return Poll::Pending;
        }
        let timeout = if self.has_begun {
            PROGRESS_TIMEOUT
        } else {
            IDLE_TIMEOUT
        };
        if self.read_timer.poll(timeout, context).is_ready() {
            self.is_slow = self.has_begun;
            return Poll::Ready(Err(Error::from(ErrorKind::TimedOut)));
        }
        Poll::Pending
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        if self.phase.is_waiting() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_write(result, context).map(Result::flatten)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        if self.phase.is_waiting() {
            return Poll::Ready(Ok(parts.iter().map(|part| part.len()).sum()));
        }
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.check_write(result, context).map(Result::flatten)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        if result.is_ready() && self.phase.flushed() {
            self.has_begun = false;
            self.read_timer.clear();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
