use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sesamedeal_core::scheduler::{AttemptKey, AttemptOutcome, JobKey};
use slog::{Logger, warn};

use super::DispatchDesk;
use super::dispatch_messages::FinishAttempt;
use super::job_guard::JobGuard;
use crate::backend::AnswerStream;
use crate::metrics::RequestMetrics;

/// Body of an answer on its way to the caller.
#[derive(Debug)]
pub(crate) enum JobBody {
    /// The whole body.
    Whole(Bytes),
    /// The body while it arrives from the backend server.
    Stream(Box<StreamedBody>),
}

/// Body that arrives from the backend server while it is passed on. The attempt ends with it.
#[derive(Debug)]
pub(crate) struct StreamedBody {
    pub(super) stream: AnswerStream,
    pub(super) open: Option<OpenAttempt>,
}

impl StreamedBody {
    /// Reports the end of the attempt.
    fn finish(&mut self) {
        if let Some(open) = self.open.take() {
            let outcome = open.outcome;
            open.finish(outcome);
        }
    }
}

/// Attempt whose answer is still arriving. When it is dropped, the job is cancelled.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub guard: JobGuard,
    pub desk: DispatchDesk,
    pub job: JobKey,
    pub attempt: AttemptKey,
    pub outcome: AttemptOutcome,
    pub metrics: RequestMetrics,
    pub logger: Logger,
}

impl OpenAttempt {
    fn finish(mut self, outcome: AttemptOutcome) {
        self.guard.disarm();
        let message = FinishAttempt {
            job: self.job,
            attempt: self.attempt,
            outcome,
            may_retry: false,
        };
        drop(self.desk.finish(&message));
    }

    fn break_off(self) {
        self.metrics.count_broken_off();
        warn!(self.logger, "answer broke after a part was passed on");
        self.finish(AttemptOutcome::BadAnswer);
    }
}

/// The answer could not be passed on whole; the caller's connection is broken off.
#[derive(Debug)]
pub(crate) struct AnswerBroken;

impl fmt::Display for AnswerBroken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the backend server's answer ended early")
    }
}

impl std::error::Error for AnswerBroken {}

impl Body for JobBody {
    type Data = Bytes;
    type Error = AnswerBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        let streamed = match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => return Poll::Ready(None),
            Self::Whole(bytes) => {
                return Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes)))));
            }
            Self::Stream(streamed) => streamed,
        };
        match ready!(streamed.stream.poll_part(context)) {
            Some(Ok(part)) => {
                if streamed.stream.is_complete() {
                    streamed.finish();
                }
                Poll::Ready(Some(Ok(Frame::data(part))))
            }
            Some(Err(_)) => {
                if let Some(open) = streamed.open.take() {
                    open.break_off();
                }
                Poll::Ready(Some(Err(AnswerBroken)))
            }
            None => {
                streamed.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Stream(streamed) => streamed.stream.size_hint(),
        }
    }
}
