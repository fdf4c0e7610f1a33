//! Messages between entry instances, in MessagePack after two bytes with the message version.

mod peer_message;
mod peer_state;

pub use peer_message::PeerMessage;
pub use peer_state::{MAX_STATE_BYTES, PeerAddress, PeerState};
