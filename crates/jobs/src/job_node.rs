use std::sync::Arc;

use arc_swap::ArcSwap;
use sesamedeal_core::ids::{InstanceName, SessionId};
use sesamedeal_core::jobs::DispatchPolicy;
use slog::{Logger, o};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::feeds::IntentFollower;
use crate::fresh_reads::with_fresh_reads;
use crate::owner::{HeartbeatView, OwnerLoop, OwnerPolicy};
use crate::ports::{AdvicePort, FleetPort, PeerPort, RowPort, StorePort, WorkerPort};
use crate::{BootClock, DeploymentView, JobApi, JobMetrics, StoreHealth};

/// Dependencies and settings of a [`JobNode`].
#[derive(Debug)]
pub struct NodeParts {
    /// Name of this entry instance.
    pub node: InstanceName,
    /// Access to the store.
    pub store: StorePort,
    /// Calls to the workers.
    pub workers: WorkerPort,
    /// Calls to the inventory of instances.
    pub fleet: FleetPort,
    /// Calls to the policy service that issues tickets for queues that need them, if there is one.
    pub advice: Option<AdvicePort>,
    /// Calls to the other entry instances.
    pub peers: PeerPort,
    /// Codecs of rows whose format the platform defines.
    pub rows: RowPort,
    /// Timing policy of the owner.
    pub policy: OwnerPolicy,
    /// Policy of the dispatcher.
    pub dispatch: DispatchPolicy,
    /// Logger of the process.
    pub logger: Logger,
}

/// Job runtime of an entry instance: the API for callers, the follower of the operator's intent and
/// the owner loop.
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
    /// Starts the tasks that follow the store and compete for the ownership.
    #[must_use]
    pub fn start(parts: NodeParts) -> Self {
        let session = SessionId(rand::random());
        let logger = parts
            .logger
            .new(o!("node" => parts.node.to_string(), "session" => session.to_string()));
        let store = with_fresh_reads(parts.store);
        let view = DeploymentView::default();
        let metrics = JobMetrics::new();
        let heartbeat = HeartbeatView::default();
        let waves = Arc::new(ArcSwap::default());
        let evacuations = Arc::new(ArcSwap::default());
        let (version, versions) = watch::channel(0);
        let (stopping, stopped) = watch::channel(false);
        let health = StoreHealth::default();
        let api = JobApi {
            store: store.clone(),
            health: health.clone(),
            heartbeat: heartbeat.clone(),
            view: view.clone(),
            rejects_overload: parts.dispatch.rejects_overload,
            metrics: metrics.clone(),
            logger: logger.clone(),
        };
        let mut followers = JoinSet::new();
        let intents = IntentFollower {
            store: store.clone(),
            health: health.clone(),
            rows: parts.rows,
            view: view.clone(),
            waves: Arc::clone(&waves),
            evacuations: Arc::clone(&evacuations),
            metrics: metrics.clone(),
            version,
            logger: logger.clone(),
        };
        followers.spawn(intents.run());
        let mut owner = JoinSet::new();
        let owner_loop = OwnerLoop {
            node: parts.node,
            session,
            policy: parts.policy,
            dispatch: parts.dispatch,
            store,
            health,
            workers: parts.workers,
            fleet: parts.fleet,
            advice: parts.advice,
            rows: parts.rows,
            peers: parts.peers,
            view: view.clone(),
            waves,
            evacuations,
            heartbeat,
            metrics: metrics.clone(),
            logger,
            started: BootClock.now(),
            stopping: stopped,
        };
        owner.spawn(owner_loop.run());
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

    /// Returns the handle to the newest configuration.
    #[must_use]
    pub const fn view(&self) -> &DeploymentView {
        &self.view
    }

    /// Returns the API for callers.
    #[must_use]
    pub const fn api(&self) -> &JobApi {
        &self.api
    }

    /// Returns the metrics of this node.
    #[must_use]
    pub const fn metrics(&self) -> &JobMetrics {
        &self.metrics
    }

    /// Returns a receiver of the version of the configuration, which is updated with each change.
    #[must_use]
    pub fn versions(&self) -> watch::Receiver<u64> {
        self.version.clone()
    }

    /// Hands over the ownership, if this node has it, and stops competing for it.
    pub async fn hand_over(&mut self) {
        self.stopping.send_replace(true);
        while let Some(result) = self.owner.join_next().await {
            // The panic hook has already reported a panic of the task.
            drop(result);
        }
    }

    /// Aborts all tasks, including a handover that is still in progress.
    pub async fn stop(mut self) {
        self.owner.shutdown().await;
        self.followers.shutdown().await;
    }
}
