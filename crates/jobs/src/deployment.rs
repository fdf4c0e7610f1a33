use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use compact_str::CompactString;
use parking_lot::Mutex;
use sesamedeal_core::ids::{QueueName, TeamName};
use sesamedeal_core::jobs::FleetRules;
use sesamedeal_core::time::TimePoint;

use crate::{BootClock, FeedStatus};

/// Route from a host and path prefix to a queue.
#[derive(Debug, Clone)]
pub struct QueueRoute {
    /// The queue that jobs on this route are submitted to.
    pub queue: QueueName,
    /// Host of the request.
    pub host: CompactString,
    /// Prefix of the request path.
    pub prefix: CompactString,
    /// Whether the queue accepts jobs without a key.
    pub is_open: bool,
    /// Time limit of a request on this route.
    pub timeout: Duration,
}

/// Configuration of the whole deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Version, which increases with each change.
    pub version: u64,
    /// Rules for scheduling jobs.
    pub rules: Arc<FleetRules>,
    /// Routes to the queues.
    pub routes: Vec<QueueRoute>,
    /// Team of each API key.
    pub keys: HashMap<CompactString, TeamName>,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
}

impl Deployment {
    /// Returns the route of a request: the one with the longest matching prefix on its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&QueueRoute> {
        let routes = self
            .routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(route.prefix.as_str()));
        routes.max_by_key(|route| route.prefix.len())
    }
}

/// Shared handle to the newest configuration known to this process.
#[derive(Debug, Clone, Default)]
pub struct DeploymentView {
    current: Arc<ArcSwapOption<Deployment>>,
    updated: Arc<Mutex<Option<TimePoint>>>,
    feed: FeedStatus,
}

impl DeploymentView {
    /// Returns the newest configuration, or `None` if none has been read yet.
    #[must_use]
    pub fn load(&self) -> Option<Arc<Deployment>> {
        self.current.load_full()
    }

    /// Replaces the configuration if `deployment` has a higher version. Returns whether it did.
    pub fn update_if_newer(&self, deployment: Deployment) -> bool {
        let known = self.current.load();
        if known
            .as_ref()
            .is_some_and(|known| known.version >= deployment.version)
        {
            return false;
        }
        self.current.store(Some(Arc::new(deployment)));
        *self.updated.lock() = Some(BootClock.now());
        true
    }

    /// Returns the time since the configuration was last replaced, or `None` if none has been read.
    #[must_use]
    pub fn update_age(&self) -> Option<Duration> {
        let updated = *self.updated.lock();
        updated.map(|updated| BootClock.now().since(updated))
    }

    /// Returns the state of the follower that delivers the configuration.
    #[must_use]
    pub const fn feed(&self) -> &FeedStatus {
        &self.feed
    }
}
