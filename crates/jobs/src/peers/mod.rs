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

use crate::ports::PeerPort;

/// Connects entry instances over TCP; `own` is where `watchers` listens.
#[must_use]
pub fn peer_port(own: SocketAddr, watchers: &WatcherList) -> PeerPort {
    let watchers = watchers.clone();
    PeerPort {
        own,
        watch: Arc::new(|call| peer_watch::watch(call).boxed()),
        offer: Arc::new(move |epoch| {
            let watchers = watchers.clone();
            async move { Ok(watchers.offer(epoch).await) }.boxed()
        }),
    }
}
