use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sesamedeal_core::exchange::ExchangeMessage;

/// One direction of the exchange `POST /peer/exchange`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// IP address and port of the sender, unless its session is in the view, whose addresses all
    /// entry instances know.
    pub address: Option<CompactString>,
    /// Evidence, usage, backlog and loans.
    pub exchange: ExchangeMessage,
}
