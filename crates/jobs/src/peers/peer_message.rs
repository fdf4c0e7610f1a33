use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_wire::codec::{self, CodecError};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest message, in bytes.
const MAX_BYTES: usize = 256;

/// Message on the connection between a watcher and an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// The watcher begins.
    Hello { capacity: InstanceCapacity },
    /// The owner asks whether the watcher could take the ownership that it holds under an epoch, or
    /// lets it do so. Requests on a connection are numbered.
    Request {
        number: u64,
        epoch: u64,
        is_binding: bool,
    },
    /// Answer of the watcher to a request: whether it could take the ownership, or has.
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

/// Silence after which the other side is probed, and time between two probes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection ends.
const PROBES: u32 = 3;

/// Messages with their lengths on a connection. The other side is probed, because a machine without
/// power never closes a connection.
pub(super) fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(PROBES);
    // Without probes the connection ends later, when an offer has no answer.
    drop(SockRef::from(&stream).set_tcp_keepalive(&probes));
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}
