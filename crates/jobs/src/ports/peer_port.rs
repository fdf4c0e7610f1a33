use std::fmt;
use std::net::SocketAddr;

use sesamedeal_core::lease::InstanceCapacity;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::AsyncCall;

/// Message of an owner that wants to hand over to an entry instance that watches it.
#[derive(Debug)]
pub struct HandOverOffer {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Whether the instance may take the ownership. Otherwise the owner asks whether it could.
    pub is_binding: bool,
    /// When it was received.
    pub received: Instant,
    /// Takes whether the instance owns the pools now, or could.
    pub reply: oneshot::Sender<bool>,
}

/// Question which watcher could take the ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessorQuery {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Capacity that dwarfs what the owner has; none if any watcher will do.
    pub larger_than: Option<InstanceCapacity>,
}

/// Watcher that could take the ownership: it has just read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyWatcher {
    /// Number of its connection.
    pub number: u64,
    /// Its capacity.
    pub capacity: InstanceCapacity,
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
pub enum WatchOutcome {
    /// Its machine answers and nothing listens there: the process has ended.
    ProcessEnded,
    /// It may live. The connection broke, or the machine does not answer.
    Unknown,
}

/// What became of an offer of the ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
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
    /// Capacity of this entry instance.
    pub capacity: InstanceCapacity,
    /// Watches an owner until the connection ends.
    pub watch: AsyncCall<WatchCall, WatchOutcome>,
    /// Asks the instances that watch this one which could take the ownership.
    pub find_successor: AsyncCall<SuccessorQuery, Option<ReadyWatcher>>,
    /// Offers the ownership under an epoch to a watcher, by its number.
    pub offer: AsyncCall<(u64, u64), OfferOutcome>,
}

impl fmt::Debug for PeerPort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerPort")
            .field("own", &self.own)
            .field("capacity", &self.capacity)
            .finish_non_exhaustive()
    }
}
