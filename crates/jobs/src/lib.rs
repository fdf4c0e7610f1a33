//! Runtime of jobs that are kept in the store.
//!
//! Every entry instance accepts jobs and writes them to the store ([`JobApi`]). One of them owns
//! the pools: it places tasks on workers, extends their leases and records how they end
//! ([`OwnerLoop`]). The runtime calls the store, the workers and other services through its
//! [`ports`].

mod api;
mod boot_clock;
mod deployment;
mod feeds;
mod fresh_reads;
mod job_metrics;
mod job_node;
mod owner;
mod peers;
pub mod ports;
mod row_codec;
mod store_clock;
mod store_health;

pub use api::{CancelOutcome, JobApi, StatusOutcome, SubmitOutcome};
pub use boot_clock::BootClock;
pub use deployment::{Deployment, DeploymentView, QueueRoute};
pub use feeds::{FeedPhase, FeedSnapshot, FeedStatus};
pub use job_metrics::JobMetrics;
pub use job_node::{JobNode, NodeParts};
pub use owner::{OwnerLoop, OwnerPolicy};
pub use peers::{WatcherList, peer_port};
pub use store_clock::StoreClock;
pub use store_health::StoreHealth;
