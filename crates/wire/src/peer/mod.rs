//! Messages between entry instances, in MessagePack.

mod peer_message;
mod peer_news;
mod peer_state;

pub use peer_message::{PeerMessage, VersionProbe};
pub use peer_news::PeerNews;
pub use peer_state::{MAX_STATE_BYTES, PeerAddress, PeerState};
