use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::caller_phase::CallerPhase;
use crate::dispatch::JobBody;

/// Body of an answer to a caller.
#[derive(Debug)]
pub(crate) struct CallerBody {
    body: JobBody,
    phase: Option<CallerPhase>,
}

impl CallerBody {
    pub(crate) const fn new(body: JobBody) -> Self {
        Self { body, phase: None }
    }

    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::new(JobBody::Whole(bytes.into()))
    }

    /// Reports the end of the answer to its connection.
    pub(crate) fn with_phase(mut self, phase: CallerPhase) -> Self {
        self.phase = Some(phase);
        self
    }
}

impl Drop for CallerBody {
    fn drop(&mut self) {
        if let Some(phase) = &self.phase {
            phase.end_answer();
        }
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = crate::dispatch::AnswerBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
