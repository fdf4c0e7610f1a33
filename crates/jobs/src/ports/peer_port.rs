use std::fmt;
use std::net::SocketAddr;

use sesamedeal_core::lease::InstanceCapacity;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::AsyncCall;

/// Offer or query that an owner sends to an entry instance that watches it, to hand over its
/// ownership.
#[derive(Debug)]
pub struct HandOverOffer {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Whether the instance may take the ownership. If false, the owner only queries whether it
    /// could.
    pub is_binding: bool,
    /// When the offer was received.
    pub received: Instant,
    /// Receives whether the instance has taken the ownership or, for a query, could take it.
    pub reply: oneshot::Sender<bool>,
}

/// Query for a watcher that could take the ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuccessorQuery {
    /// Epoch of the owner.
    pub epoch: u64,
    /// If set, only watchers that are much larger than this capacity are queried. See
    /// [`InstanceCapacity::is_much_smaller_than`].
    pub larger_than: Option<InstanceCapacity>,
}

/// Watcher that could take the ownership and has just read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyWatcher {
    /// Number of the connection to the watcher.
    pub number: u64,
    /// Capacity of the watcher's instance.
    pub capacity: InstanceCapacity,
}

/// Request to watch the process of an owner.
#[derive(Debug, Clone)]
pub struct WatchCall {
    /// Address at which the owner accepts watchers.
    pub address: SocketAddr,
    /// Receives the offers that the owner makes while it is watched.
    pub offers: mpsc::Sender<HandOverOffer>,
}

/// State of a watched process after the connection to it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The process has ended: its machine refuses connections to the address.
    ProcessEnded,
    /// The process may be alive. The connection broke, or the machine does not answer.
    Unknown,
}

/// Outcome of an offer of the ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// An instance has taken the ownership.
    Taken,
    /// No instance has taken the ownership, and none will take it later.
    Refused,
    /// The instance did not answer and may have taken the ownership.
    Unknown,
}

/// Connections to the other entry instances.
#[derive(Clone)]
pub struct PeerPort {
    /// Address at which this entry instance accepts watchers while it owns the pools.
    pub own: SocketAddr,
    /// Capacity of this entry instance.
    pub capacity: InstanceCapacity,
    /// Watches an owner until the connection ends.
    pub watch: AsyncCall<WatchCall, WatchOutcome>,
    /// Queries the instances that watch this one for a watcher that could take the ownership.
    pub find_successor: AsyncCall<SuccessorQuery, Option<ReadyWatcher>>,
    /// Offers the ownership to a watcher; called with the epoch and the number of the watcher.
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
