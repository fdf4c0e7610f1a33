use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_wire::codec::{self, CodecError};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum length of a message, in bytes.
const MAX_BYTES: usize = 256;

/// Message on the connection between a watcher and an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// First message of a watcher, with the capacity of its instance.
    Hello { capacity: InstanceCapacity },
    /// Request of the owner. It offers the ownership under its epoch to the watcher if binding;
    /// otherwise it queries whether the watcher could take it. The number identifies the request on
    /// its connection.
    Request {
        number: u64,
        epoch: u64,
        is_binding: bool,
    },
    /// Answer of the watcher to a request: whether it has taken the ownership or, if the request is
    /// not binding, could take it.
    Answer { number: u64, is_accepted: bool },
}

impl PeerMessage {
    pub(super) fn encode(self) -> Result<Bytes, CodecError> {
        codec::encode(&self, MAX_BYTES)
    }

    pub(super) fn decode(frame: &[u8]) -> Result<Self, CodecError> {
        codec::decode(frame, MAX_BYTES)
    }
}

/// Idle time after which TCP keepalive probes are sent, and the interval between them.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which the connection is closed.
const PROBES: u32 = 3;

/// Wraps a connection into a codec for length-delimited messages and enables TCP keepalive. The
/// probes are necessary because a machine that loses power never closes its connections.
pub(super) fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(PROBES);
    // The error is ignored: without probes the connection ends later, when an offer is not
    // answered.
    drop(SockRef::from(&stream).set_tcp_keepalive(&probes));
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}
