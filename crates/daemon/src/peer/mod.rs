//! Exchange of evidence, usage and loans with other entry instances.

mod peer_client;
mod peer_loop;
mod peer_service;
mod peer_table;
mod peer_traffic;

pub(crate) use peer_client::PeerClient;
pub(crate) use peer_loop::PeerLoop;
pub(crate) use peer_service::PeerService;
pub(crate) use peer_table::PeerTable;
pub(crate) use peer_traffic::PeerTraffic;
