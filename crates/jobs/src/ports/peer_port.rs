use std::fmt;
use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::AsyncCall;

/// Offer of an owner that cannot reach the store to an entry instance that watches it.
#[derive(Debug)]
pub struct HandOverOffer {
    /// Epoch of the owner.
    pub epoch: u64,
    /// When it was received.
    pub received: Instant,
    /// Takes whether the instance owns the pools now.
    pub reply: oneshot::Sender<bool>,
}

/// Request to watch the process of an owner.
#[derive(Debug, Clone)]
pub struct WatchCall {
    /// Where the owner is watched.
    pub address: SocketAddr,
    /// Takes the offers that the owner makes meanwhile.
    pub offers: mpsc::Sender<HandOverOffer>,
}

/// What is known of a watched process after the connection to it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchEnd {
    /// Its machine answers and nothing listens there: the process has ended.
    Gone,
    /// It may live. The connection broke, or the machine does not answer.
    Unknown,
}

/// What became of an offer of the ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferEnd {
    /// An instance has taken it.
    Taken,
    /// No instance took it, nor will.
    Refused,
    /// An instance that was asked has not answered. It may have taken the ownership.
    Unknown,
}

/// Other entry instances.
#[derive(Clone)]
pub struct PeerPort {
    /// Where this entry instance is watched while it owns the pools.
    pub own: SocketAddr,
    /// Watches an owner until the connection ends.
    pub watch: AsyncCall<WatchCall, WatchEnd>,
    /// Offers the ownership under an epoch to instances that watch this one.
    pub offer: AsyncCall<u64, OfferEnd>,
}

impl fmt::Debug for PeerPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerPort")
            .field("own", &self.own)
            .finish_non_exhaustive()
    }
}
