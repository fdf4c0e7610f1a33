//! Connections on which entry instances watch the process of the owner.
//!
//! A broken connection reveals the end of the owner's process immediately, long before its
//! ownership expires. The owner uses the same connections to hand over its ownership if it cannot
//! reach the store and other instances can.

mod peer_message;
mod peer_watch;
mod watcher_list;

pub use watcher_list::WatcherList;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;

use sesamedeal_core::lease::InstanceCapacity;

use crate::ports::PeerPort;

/// Creates the port to the other entry instances over TCP. `own` is the address at which `watchers`
/// accepts connections, and `capacity` is the capacity of this instance.
#[must_use]
pub fn peer_port(own: SocketAddr, capacity: InstanceCapacity, watchers: &WatcherList) -> PeerPort {
    let (queried, offered) = (watchers.clone(), watchers.clone());
    PeerPort {
        own,
        capacity,
        watch: Arc::new(move |call| peer_watch::watch(call, capacity).boxed()),
        find_successor: Arc::new(move |query| {
            let watchers = queried.clone();
            async move { Ok(watchers.find_successor(query).await) }.boxed()
        }),
        offer: Arc::new(move |(epoch, watcher)| {
            let watchers = offered.clone();
            async move { Ok(watchers.offer(epoch, watcher).await) }.boxed()
        }),
    }
}
