use std::fmt;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::header::{HeaderMap, HeaderValue};
use sesamedeal_core::ids::SessionId;
use sesamedeal_core::scheduler::AttemptKey;
use slotmap::Key;

/// Identifier of an attempt that no other entry instance uses: session id and attempt key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct AttemptId {
    session: SessionId,
    key: AttemptKey,
}

impl AttemptId {
    pub(crate) const fn new(session: SessionId, key: AttemptKey) -> Self {
        Self { session, key }
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{:016x}", self.session, self.key.data().as_ffi())
    }
}

/// One attempt as it is sent to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct AttemptCall {
    /// Address of the backend server.
    pub address: CompactString,
    /// Request id that the answer has to echo.
    pub request: HeaderValue,
    /// Attempt id that the answer has to echo.
    pub attempt: HeaderValue,
    /// All headers, including the two above.
    pub headers: HeaderMap,
    /// Body of the job.
    pub body: Bytes,
    /// Largest answer that is read into memory, in bytes; a larger one is streamed.
    pub inline_bytes: usize,
}
