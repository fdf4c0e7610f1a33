//! In-memory store, workers and inventory that implement the ports of the runtime.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

mod deployment;
mod memory_fleet;
mod memory_store;
mod memory_workers;
pub mod timed_store;

use std::collections::HashSet;
use std::ops::Deref;
use std::time::Duration;

use compact_str::CompactString;
use sesamedeal_core::ids::{InstanceName, QueueName, TeamName};
use sesamedeal_core::jobs::{DispatchPolicy, JobId, JobOrder, JobPhase, ResourceAmount, StepSpec};
use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_jobs::ports::{RowPartition, RowPort, StorePort, StoreTable};
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

/// Maximum time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Store, workers and inventory of a deployment with one pool. Entry instances are added by tests.
#[derive(Clone)]
pub struct TestCluster {
    pub store: MemoryStore,
    pub workers: MemoryWorkers,
    pub fleet: MemoryFleet,
}

impl TestCluster {
    /// Creates a cluster with `count` workers of 8 cores each.
    pub fn new(count: usize) -> Self {
        let store = MemoryStore::default();
        let workers = MemoryWorkers::new(count);
        let cluster = Self {
            fleet: MemoryFleet::new(count, store.clone(), workers.clone()),
            store,
            workers,
        };
        cluster.store.put(StoreTable::Intent, "config", b"config");
        for number in 0..count {
            cluster.list_worker(number);
        }
        cluster
    }

    /// Adds a worker to the list of workers.
    pub fn list_worker(&self, number: usize) {
        let key = format!("worker-{number}");
        self.store.put(StoreTable::WorkerList, &key, b"1");
    }

    /// Removes a worker from the list of workers, as the platform does with a worker that no longer
    /// reports to it.
    pub fn unlist_worker(&self, number: usize) {
        let key = format!("worker-{number}");
        self.store.delete(StoreTable::WorkerList, &key);
    }

    /// Starts an entry instance.
    pub fn node(&self, name: &str) -> TestNode {
        self.node_with_store(name, &self.store)
    }

    /// Returns the epochs under which tasks were started.
    pub fn epochs(&self) -> HashSet<u64> {
        let starts = self.workers.starts.lock();
        starts.iter().map(|(_, _, fence)| *fence >> 32).collect()
    }

    /// Waits until the wave is reported as finished. Returns the maintained instances without
    /// duplicates, and the highest number of instances that were in maintenance at the same time.
    pub async fn wait_wave_finished(&self) -> (Vec<InstanceName>, usize) {
        wait_until("the wave is reported as finished", async || {
            let rows = self.store.rows(StoreTable::WaveStatus);
            rows.iter().any(|row| row.value.as_ref() == b"true")
        })
        .await;
        let (mut orders, max_in_maintenance) = self.fleet.maintained();
        orders.sort();
        orders.dedup();
        (orders, max_in_maintenance)
    }

    /// Starts an entry instance with its own client of the store.
    pub fn node_with_store(&self, name: &str, store: &MemoryStore) -> TestNode {
        self.node_with_capacity(name, store, InstanceCapacity::default())
    }

    /// Starts an entry instance with its own client of the store and its own capacity.
    pub fn node_with_capacity(
        &self,
        name: &str,
        store: &MemoryStore,
        capacity: InstanceCapacity,
    ) -> TestNode {
        self.node_with_port(name, store.port(), capacity)
    }

    /// Starts an entry instance that calls the store through `store`.
    pub fn node_with_port(
        &self,
        name: &str,
        store: StorePort,
        capacity: InstanceCapacity,
    ) -> TestNode {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let watchers = WatcherList::default();
        let peers = peer_port(address, capacity, &watchers);
        let logger = Logger::root(Discard, o!());
        let mut watch_server = JoinSet::new();
        watch_server
            .spawn(watchers.serve(TcpListener::from_std(listener).unwrap(), logger.clone()));
        let node = JobNode::start(NodeParts {
            node: InstanceName::new(name),
            store,
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
            dispatch: DispatchPolicy {
                defers_overload: true,
                rejects_overload: true,
                ..DispatchPolicy::default()
            },
            peers,
            logger,
        });
        TestNode { node, watch_server }
    }
}

/// Entry instance, and the server through which other instances watch it. Dropping it ends both, as
/// the end of a process does.
pub struct TestNode {
    node: JobNode,
    watch_server: JoinSet<()>,
}

impl TestNode {
    /// Hands over the ownership, as a process does on a graceful shutdown.
    pub async fn hand_over(&mut self) {
        self.node.hand_over().await;
    }

    /// Stops the node but keeps its watch server, so that other instances see a live process that
    /// does no work, like a suspended one.
    pub fn suspend(self) -> JoinSet<()> {
        self.watch_server
    }
}

impl Deref for TestNode {
    type Target = JobNode;

    fn deref(&self) -> &JobNode {
        &self.node
    }
}

/// Returns a job with one step of `count` tasks.
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
        rules: None,
    }
}

/// Returns the partition that stores a job.
pub fn partition(id: u64) -> RowPartition {
    RowPartition::of(StoreTable::State, &JobId(id).to_string())
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

/// Waits until the status of a job is `Finished`.
pub async fn wait_finished(node: &JobNode, id: u64) {
    wait_until("the job has finished", async || {
        phase(node, id).await == Some(JobPhase::Finished)
    })
    .await;
}

/// Submits a job of one task and waits until it has finished.
pub async fn run_job(node: &JobNode, id: u64) {
    submit(node, id, &job(1, false)).await;
    wait_finished(node, id).await;
}

/// Waits until a condition holds.
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
