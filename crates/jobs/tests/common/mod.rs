//! A store, workers and an inventory in memory, behind the ports of the runtime.
#![allow(dead_code, reason = "each test file uses a part")]

mod deployment;
mod memory_fleet;
mod memory_store;
mod memory_workers;

use std::collections::HashSet;
use std::ops::Deref;
use std::time::Duration;

use compact_str::CompactString;
use sesamedeal_core::ids::{InstanceName, QueueName, TeamName};
use sesamedeal_core::jobs::{DispatchPolicy, JobId, JobOrder, JobPhase, ResourceAmount, StepSpec};
use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_jobs::ports::{RowPort, StoreTable};
use sesamedeal_jobs::{
    JobNode, NodeParts, OwnerPolicy, StatusOutcome, SubmitOutcome, WatcherList, peer_port,
};
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use deployment::{amount, decode_intent, decode_worker};
pub use memory_fleet::MemoryFleet;
pub use memory_store::MemoryStore;
pub use memory_workers::MemoryWorkers;

/// Longest time that a test waits for something.
const PATIENCE: Duration = Duration::from_secs(15);

/// A deployment of one pool with its store, workers and inventory.
#[derive(Clone)]
pub struct Stage {
    pub store: MemoryStore,
    pub workers: MemoryWorkers,
    pub fleet: MemoryFleet,
}

impl Stage {
    /// A stage with `count` workers of 8 cores.
    pub fn new(count: usize) -> Self {
        let store = MemoryStore::default();
        let workers = MemoryWorkers::new(count);
        let stage = Self {
            fleet: MemoryFleet::new(count, store.clone(), workers.clone()),
            store,
            workers,
        };
        stage.store.put(StoreTable::Intent, "config", b"config");
        for number in 0..count {
            stage.list_worker(number);
        }
        stage
    }

    /// Adds a worker to the list.
    pub fn list_worker(&self, number: usize) {
        let key = format!("worker-{number}");
        self.store.put(StoreTable::WorkerList, &key, b"1");
    }

    /// Removes a worker from the list, as the platform does when it hears nothing of it.
    pub fn unlist_worker(&self, number: usize) {
        let key = format!("worker-{number}");
        self.store.delete(StoreTable::WorkerList, &key);
    }

    pub fn node(&self, name: &str) -> StageNode {
        self.node_with(name, &self.store)
    }

    /// Epochs under which tasks were started.
    pub fn epochs(&self) -> HashSet<u64> {
        let starts = self.workers.starts.lock();
        starts.iter().map(|(_, _, fence)| *fence).collect()
    }

    /// Waits until the wave is said to be finished; returns the maintained instances, each once, and
    /// the most that were out at the same time.
    pub async fn wait_wave(&self) -> (Vec<InstanceName>, usize) {
        wait_until("the wave is finished", async || {
            let rows = self.store.rows(StoreTable::WaveStatus);
            rows.iter().any(|row| row.value.as_ref() == b"true")
        })
        .await;
        let (mut orders, most_out) = self.fleet.maintained();
        orders.sort();
        orders.dedup();
        (orders, most_out)
    }

    /// An entry instance with an access to the store of its own.
    pub fn node_with(&self, name: &str, store: &MemoryStore) -> StageNode {
        self.sized_node(name, store, InstanceCapacity::default())
    }

    /// An entry instance with an access to the store and a capacity of its own.
    pub fn sized_node(
        &self,
        name: &str,
        store: &MemoryStore,
        capacity: InstanceCapacity,
    ) -> StageNode {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let watchers = WatcherList::default();
        let peers = peer_port(address, capacity, &watchers);
        let logger = Logger::root(Discard, o!());
        let mut watched = JoinSet::new();
        watched.spawn(watchers.serve(TcpListener::from_std(listener).unwrap(), logger.clone()));
        let node = JobNode::start(NodeParts {
            node: InstanceName::new(name),
            store: store.port(),
            workers: self.workers.port(),
            fleet: self.fleet.port(),
            advice: None,
            rows: RowPort {
                intent: decode_intent,
                worker: decode_worker,
                wave_status: |wave, is_finished| {
                    (format!("wave/{wave}"), is_finished.to_string().into())
                },
            },
            policy: OwnerPolicy::default(),
            dispatch: DispatchPolicy::default(),
            peers,
            logger,
        });
        StageNode { node, watched }
    }
}

/// An entry instance with the address at which others watch it. Both end when it is dropped, as
/// they do when a process ends.
pub struct StageNode {
    node: JobNode,
    watched: JoinSet<()>,
}

impl StageNode {
    /// Hands over, as at the end of a process that is asked to stop.
    pub async fn hand_over(&mut self) {
        self.node.hand_over().await;
    }

    /// Ends nothing but the work, so that the process seems to live: it is suspended.
    pub fn suspend(self) -> JoinSet<()> {
        self.watched
    }
}

impl Deref for StageNode {
    type Target = JobNode;

    fn deref(&self) -> &JobNode {
        &self.node
    }
}

/// A job of one step.
pub fn job(count: u16, is_lasting: bool) -> JobOrder {
    JobOrder {
        queue: QueueName::new("queue"),
        team: Some(TeamName::new("team")),
        accepted_ms: 0,
        spec: CompactString::from("spec"),
        steps: vec![StepSpec {
            count,
            amount: ResourceAmount {
                memory_mb: 0,
                ..amount(1_000)
            },
            estimate: Duration::from_millis(100),
            is_lasting,
            ..StepSpec::default()
        }],
        schedule: None,
    }
}

pub async fn submit(node: &JobNode, id: u64, order: &JobOrder) -> SubmitOutcome {
    let deadline = Instant::now() + Duration::from_secs(2);
    node.api().submit(JobId(id), order, deadline).await
}

pub async fn phase(node: &JobNode, id: u64) -> Option<JobPhase> {
    let deadline = Instant::now() + Duration::from_secs(1);
    match node.api().status(JobId(id), deadline).await {
        StatusOutcome::Known(phase) => Some(phase),
        _ => None,
    }
}

/// Waits until a job is shown as finished.
pub async fn wait_finished(node: &JobNode, id: u64) {
    wait_until("the job ends", async || {
        phase(node, id).await == Some(JobPhase::Finished)
    })
    .await;
}

/// Runs a job of one task to its end.
pub async fn run_job(node: &JobNode, id: u64) {
    submit(node, id, &job(1, false)).await;
    wait_finished(node, id).await;
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !condition().await {
        assert!(Instant::now() < end, "not in time: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
