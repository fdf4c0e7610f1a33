use std::sync::Arc;

use arc_swap::ArcSwap;
use sesamedeal_core::ids::{InstanceName, SessionId};
use sesamedeal_core::jobs::DispatchPolicy;
use slog::{Logger, o};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::feeds::IntentFollower;
use crate::owner::{HeartbeatView, OwnerLoop, OwnerPolicy};
use crate::ports::{AdvicePort, FleetPort, PeerPort, RowPort, StorePort, WorkerPort};
use crate::{BootClock, DeploymentView, JobApi, JobMetrics, StoreHealth};

/// What a [`JobNode`] is built from.
#[derive(Debug)]
pub struct NodeParts {
    /// Name of this entry instance.
    pub node: InstanceName,
    /// The store.
    pub store: StorePort,
    /// The workers.
    pub workers: WorkerPort,
    /// The inventory of instances.
    pub fleet: FleetPort,
    /// The policy service of queues that need tickets, if there is one.
    pub advice: Option<AdvicePort>,
    /// The other entry instances.
    pub peers: PeerPort,
    /// Formats of rows of other writers.
    pub rows: RowPort,
    /// Times of the owner.
    pub policy: OwnerPolicy,
    /// Times of the dispatcher.
    pub dispatch: DispatchPolicy,
    /// Logger of the process.
    pub logger: Logger,
}

/// The part of an entry instance that handles stored jobs.
#[derive(Debug)]
pub struct JobNode {
    view: DeploymentView,
    api: JobApi,
    metrics: JobMetrics,
    version: watch::Receiver<u64>,
    stopping: watch::Sender<bool>,
    owner: JoinSet<()>,
    followers: JoinSet<()>,
}

impl JobNode {
    /// Starts following the store and competing for the ownership.
    #[must_use]
    pub fn start(parts: NodeParts) -> Self {
        let session = SessionId(rand::random());
        let logger = parts
            .logger
            .new(o!("node" => parts.node.to_string(), "session" => session.to_string()));
        let view = DeploymentView::default();
        let metrics = JobMetrics::new();
        let heartbeat = HeartbeatView::default();
        let waves = Arc::new(ArcSwap::default());
        let (version, versions) = watch::channel(0);
        let (stopping, stopped) = watch::channel(false);
        let health = StoreHealth::default();
        let api = JobApi {
            store: parts.store.clone(),
            health: health.clone(),
            heartbeat: heartbeat.clone(),
            metrics: metrics.clone(),
            logger: logger.clone(),
        };
        let mut followers = JoinSet::new();
        let intents = IntentFollower {
            store: parts.store.clone(),
            health: health.clone(),
            rows: parts.rows,
            view: view.clone(),
            waves: Arc::clone(&waves),
            version,
            logger: logger.clone(),
        };
        followers.spawn(intents.run());
        let mut owner = JoinSet::new();
        let contender = OwnerLoop {
            node: parts.node,
            session,
            policy: parts.policy,
            dispatch: parts.dispatch,
            store: parts.store,
            health,
            workers: parts.workers,
            fleet: parts.fleet,
            advice: parts.advice,
            rows: parts.rows,
            peers: parts.peers,
            view: view.clone(),
            waves,
            heartbeat,
            metrics: metrics.clone(),
            logger,
            started: BootClock.now(),
            stopping: stopped,
        };
        owner.spawn(contender.run());
        Self {
            view,
            api,
            metrics,
            version: versions,
            stopping,
            owner,
            followers,
        }
    }

    /// The newest configuration.
    #[must_use]
    pub const fn view(&self) -> &DeploymentView {
        &self.view
    }

    /// What callers ask for.
    #[must_use]
    pub const fn api(&self) -> &JobApi {
        &self.api
    }

    /// Counters and histograms.
    #[must_use]
    pub const fn metrics(&self) -> &JobMetrics {
        &self.metrics
    }

    /// Version of the configuration in force, as it changes.
    #[must_use]
    pub fn versions(&self) -> watch::Receiver<u64> {
        self.version.clone()
    }

    /// Hands the ownership over and stops competing for it.
    pub async fn hand_over(&mut self) {
        self.stopping.send_replace(true);
        while let Some(result) = self.owner.join_next().await {
            // A panic was reported by the runtime already.
            drop(result);
        }
    }

    /// Ends everything, also an attempt to hand over that is still under way.
    pub async fn stop(mut self) {
        self.owner.shutdown().await;
        self.followers.shutdown().await;
    }
}
