use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sesamedeal_core::exchange::ExchangeMessage;

use super::PeerNews;

/// One direction of the exchange `POST /peer/exchange`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Message version; a receiver of another version rejects the message with code 1030.
    pub version: u16,
    /// IP address and port of the sender.
    pub address: CompactString,
    /// What the sender knows of itself (first) and of others.
    pub news: Vec<PeerNews>,
    /// Usage, backlog and loans.
    pub exchange: ExchangeMessage,
}

/// The part of a message that every version has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionProbe {
    /// Message version.
    pub version: u16,
}
