use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::body::{Body, Incoming, SizeHint};
use tokio::time::{Instant, Sleep, sleep};

use super::backend_link::BackendLink;
use super::link_pool::LinkPool;

/// Time without progress after which a backend server's answer counts as broken.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer, in bytes. It guards against an answer without an end.
pub(super) const MAX_ANSWER_BYTES: u64 = 4 * 1024 * 1024 * 1024;

/// Body of an answer while it arrives.
#[derive(Debug)]
pub(crate) struct AnswerStream {
    read: VecDeque<Bytes>,
    body: Incoming,
    link: Option<BackendLink>,
    links: LinkPool,
    address: CompactString,
    bytes: u64,
    is_whole: bool,
    stall: Pin<Box<Sleep>>,
}

/// The answer ended before it was complete.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BrokenAnswer;

impl AnswerStream {
    pub(super) fn new(
        body: Incoming,
        link: BackendLink,
        links: LinkPool,
        address: CompactString,
    ) -> Self {
        Self {
            read: VecDeque::new(),
            body,
            link: Some(link),
            links,
            address,
            bytes: 0,
            is_whole: false,
            stall: Box::pin(sleep(STALL_TIMEOUT)),
        }
    }

    /// Size of the parts that were read and not yet taken.
    pub(super) fn buffered(&self) -> usize {
        self.read.iter().map(Bytes::len).sum()
    }

    /// Keeps a part for a later reader.
    pub(super) fn push(&mut self, part: Bytes) {
        self.read.push_back(part);
    }

    /// Joins the parts that were read.
    pub(super) fn into_whole(mut self) -> Bytes {
        if self.read.len() == 1 {
            return self.read.pop_front().unwrap_or_default();
        }
        let mut whole = Vec::with_capacity(self.buffered());
        for part in &self.read {
            whole.extend_from_slice(part);
        }
        whole.into()
    }

    /// Size of the whole body if the answer states it.
    pub(crate) fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered() as u64;
        self.body
            .size_hint()
            .exact()
            .map_or_else(SizeHint::default, |rest| {
                SizeHint::with_exact(rest + buffered)
            })
    }

    /// Takes the next part of the body; `None` once the body is complete.
    pub(crate) fn poll_part(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenAnswer>>> {
        if let Some(part) = self.read.pop_front() {
            return Poll::Ready(Some(Ok(part)));
        }
        self.poll_read(context)
    }

    /// Whether the whole body was read and taken. An answer of stated length is complete with its
    /// last byte, after which the HTTP library does not ask for more.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_whole && self.read.is_empty()
    }

    fn complete(&mut self) {
        self.is_whole = true;
        if let Some(link) = self.link.take() {
            self.links.put_back(&self.address, link);
        }
    }

    /// Reads the next part from the connection, past the parts that are kept.
    pub(super) fn poll_read(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenAnswer>>> {
        let Some(link) = &mut self.link else {
            let end = (!self.is_whole).then_some(Err(BrokenAnswer));
            return Poll::Ready(end);
        };
        loop {
            match link.poll_frame(&mut self.body, context) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers are not passed on.
                    let Ok(part) = frame.into_data() else {
                        continue;
                    };
                    self.bytes += part.len() as u64;
                    if self.bytes > MAX_ANSWER_BYTES {
                        self.link = None;
                        return Poll::Ready(Some(Err(BrokenAnswer)));
                    }
                    self.stall.as_mut().reset(Instant::now() + STALL_TIMEOUT);
                    if self.body.is_end_stream() {
                        self.complete();
                    }
                    return Poll::Ready(Some(Ok(part)));
                }
                Poll::Ready(Some(Err(_))) => {
                    self.link = None;
                    return Poll::Ready(Some(Err(BrokenAnswer)));
                }
                Poll::Ready(None) => {
                    self.complete();
                    return Poll::Ready(None);
                }
                Poll::Pending => break,
            }
        }
        if self.stall.as_mut().poll(context).is_ready() {
            self.link = None;
            return Poll::Ready(Some(Err(BrokenAnswer)));
        }
        Poll::Pending
    }
}
