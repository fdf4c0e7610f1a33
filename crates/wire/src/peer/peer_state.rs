use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sesamedeal_core::fleet::FleetState;
use sesamedeal_core::ids::{Generation, SessionId};

/// Largest answer to `GET /peer/state`, in bytes.
pub const MAX_STATE_BYTES: usize = 16 * 1024 * 1024;

/// Where an entry instance is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAddress {
    /// Its session.
    pub session: SessionId,
    /// IP address and port.
    pub address: CompactString,
}

/// Answer to `GET /peer/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// State that the entry instance acts under.
    pub state: FleetState,
    /// Highest settled generation that it knows.
    pub settled: Generation,
    /// Entry instances that it knows, itself included.
    pub peers: Vec<PeerAddress>,
}
