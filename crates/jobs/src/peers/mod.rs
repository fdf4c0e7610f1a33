//! Connections between entry instances: each watches the process of the owner over one.
//!
//! A connection that breaks shows the end of a process at once, long before its ownership expires.
//! The owner uses the same connections to hand over when it alone cannot reach the store.

mod peer_message;
mod peer_watch;
mod watcher_list;

pub use watcher_list::WatcherList;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::FutureExt;

use sesamedeal_core::lease::InstanceCapacity;

use crate::ports::PeerPort;

/// Connects entry instances over TCP; `own` is where `watchers` listens, and `capacity` that of
/// this instance.
#[must_use]
pub fn peer_port(own: SocketAddr, capacity: InstanceCapacity, watchers: &WatcherList) -> PeerPort {
    let (asked, offered) = (watchers.clone(), watchers.clone());
    PeerPort {
        own,
        capacity,
        watch: Arc::new(move |call| peer_watch::watch(call, capacity).boxed()),
        find_successor: Arc::new(move |query| {
            let watchers = asked.clone();
            async move { Ok(watchers.find_successor(query).await) }.boxed()
        }),
        offer: Arc::new(move |(epoch, watcher)| {
            let watchers = offered.clone();
            async move { Ok(watchers.offer(epoch, watcher).await) }.boxed()
        }),
    }
}
