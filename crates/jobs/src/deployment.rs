use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use compact_str::CompactString;
use sesamedeal_core::ids::{QueueName, TeamName};
use sesamedeal_core::jobs::FleetRules;

/// Address of a queue as callers use it.
#[derive(Debug, Clone)]
pub struct QueueRoute {
    /// The queue.
    pub queue: QueueName,
    /// Host that the request names.
    pub host: CompactString,
    /// Beginning of the path.
    pub prefix: CompactString,
    /// Whether the queue takes jobs without a key.
    pub is_open: bool,
    /// Time after which a request on the route ends.
    pub timeout: Duration,
}

/// The configuration of the whole deployment.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Version; it grows with each change.
    pub version: u64,
    /// What decides about jobs.
    pub rules: Arc<FleetRules>,
    /// Addresses of the queues.
    pub routes: Vec<QueueRoute>,
    /// Team of each key.
    pub keys: HashMap<CompactString, TeamName>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
}

impl Deployment {
    /// The route of a request: the longest prefix on its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&QueueRoute> {
        let routes = self
            .routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(route.prefix.as_str()));
        routes.max_by_key(|route| route.prefix.len())
    }
}

/// The newest configuration that this process knows; none before the first.
#[derive(Debug, Clone, Default)]
pub struct DeploymentView {
    current: Arc<ArcSwapOption<Deployment>>,
}

impl DeploymentView {
    /// The newest configuration.
    #[must_use]
    pub fn load(&self) -> Option<Arc<Deployment>> {
        self.current.load_full()
    }

    /// Takes a configuration unless a newer one is known; true if it was taken.
    pub fn update_if_newer(&self, deployment: Deployment) -> bool {
        let known = self.current.load();
        if known
            .as_ref()
            .is_some_and(|known| known.version >= deployment.version)
        {
            return false;
        }
        self.current.store(Some(Arc::new(deployment)));
        true
    }
}
