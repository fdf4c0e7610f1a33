use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sesamedeal_wire::codec::{self, CodecError};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Largest message, in bytes.
const MAX_BYTES: usize = 256;

/// Message on the connection between a watcher and an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// The owner offers the ownership that it holds under an epoch.
    Offer { epoch: u64 },
    /// The watcher has taken the ownership that was offered, or has not.
    Answer { epoch: u64, is_taken: bool },
}

impl PeerMessage {
    pub(super) fn encode(self) -> Result<Bytes, CodecError> {
        codec::encode(&self, MAX_BYTES)
    }

    pub(super) fn decode(frame: &[u8]) -> Result<Self, CodecError> {
        codec::decode(frame, MAX_BYTES)
    }
}

/// Messages with their lengths on a connection.
pub(super) fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}
