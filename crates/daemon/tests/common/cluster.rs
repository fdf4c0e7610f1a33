//! A platform, entry instances and backend servers in the test's process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sesamedeal_core::fleet::{
    ChangeRecord, FleetChange, FleetState, InstanceState, KeyRecord, PoolRecord, QueueRecord,
    TeamRecord,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, KeyId, PoolName, QueueName, RackName, TeamName, ZoneName,
};
use sesamedeal_core::keys::{KeySecret, PresentedKey};
use sesamedeal_daemon::{DaemonSettings, EntryInstance, LogLevel};
use sesamedeal_standin::ServerHandle;
use sesamedeal_standin::backend::{BackendFleet, FleetSettings};
use sesamedeal_standin::platform::PlatformStandin;
use sesamedeal_store::protocol::{ListedState, PlatformInstance};
use sesamedeal_wire::admin::HistoryReply;

use super::PATIENCE;
use super::operator::TestClient;

/// Any free port of the loopback address.
pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("valid address")
}

/// Waits until a condition holds and returns how long it took.
pub async fn wait_until(
    what: &str,
    limit: Duration,
    mut holds: impl AsyncFnMut() -> bool,
) -> Duration {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < limit, "{what}: not within {limit:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let elapsed = start.elapsed();
    println!("{what}: after {elapsed:?} of {limit:?}");
    elapsed
}

/// A platform with entry instances and backend servers.
#[derive(Debug)]
pub struct TestCluster {
    pub platform: PlatformStandin,
    pub server: ServerHandle,
    pub entries: Vec<EntryInstance>,
    pub backends: BackendFleet,
    pub client: TestClient,
    /// Entry instances that run as processes of their own.
    pub processes: Vec<SocketAddr>,
}

/// Settings with a short list lag and task lease, so that absences are noticed within seconds.
pub fn settings(platform: SocketAddr) -> DaemonSettings {
    DaemonSettings {
        list_lag: Duration::from_secs(1),
        task_lease: Duration::from_secs(2),
        shutdown_deadline: Duration::from_secs(5),
        log_level: LogLevel::Error,
        ..DaemonSettings::new(loopback(), ZoneName::new("a"), platform)
    }
}

impl TestCluster {
    /// Starts a platform, `entries` entry instances and `workers` backend servers.
    pub async fn start(entries: usize, workers: usize) -> Self {
        let platform = PlatformStandin::new();
        let server = platform.serve(loopback()).await.expect("platform");
        let sizes = FleetSettings::new(workers);
        let backends = BackendFleet::start(&platform, &sizes).await;
        let mut fleet = Self {
            platform,
            server,
            entries: Vec::new(),
            backends: backends.expect("backend servers"),
            client: TestClient::new(),
            processes: Vec::new(),
        };
        for _ in 0..entries {
            fleet.add_entry().await;
        }
        fleet
    }

    pub fn settings(&self) -> DaemonSettings {
        settings(self.server.address())
    }

    /// Starts an entry instance and lists it.
    pub async fn add_entry(&mut self) -> SocketAddr {
        let settings = self.settings();
        self.add_entry_with(settings).await
    }

    pub async fn add_entry_with(&mut self, settings: DaemonSettings) -> SocketAddr {
        let entry = EntryInstance::start(settings)
            .await
            .expect("entry instance");
        let address = entry.address();
        self.entries.push(entry);
        self.platform.put_instance(listed_entry(address));
        address
    }

    /// Takes an entry instance off the platform's list.
    pub fn unlist(&self, address: SocketAddr) {
        let name = InstanceName::new(address.to_string());
        assert!(self.platform.remove_instance(&name), "listed before");
    }

    pub fn address(&self, entry: usize) -> SocketAddr {
        self.addresses()[entry]
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        let entries = self.entries.iter().map(EntryInstance::address);
        entries.chain(self.processes.iter().copied()).collect()
    }

    /// Puts the first configuration in force: pools `rota` with all workers and `spare` without,
    /// the open team and queue `swap`, and the team `clock` with its key and queue `repair`.
    pub async fn configure(&self) -> Generation {
        let workers = self.backends.names().len();
        let changes = vec![
            put_pool("rota", workers, false),
            put_pool("spare", 0, true),
            put_team("open", 1_000),
            put_team("clock", 1_000),
            put_queue("swap", "rota", true),
            put_queue("repair", "rota", false),
            FleetChange::GrantKey {
                id: team_key().id,
                key: KeyRecord {
                    team: TeamName::new("clock"),
                    hash: team_key().secret.hash(),
                    withdrawn: false,
                },
            },
        ];
        let generation = self.client.change(self.address(0), changes).await;
        self.wait_ready().await;
        generation
    }

    /// Waits until each entry instance is ready and in the view, and the view has settled.
    pub async fn wait_ready(&self) {
        let addresses = self.addresses();
        wait_until("fleet ready", PATIENCE, async || {
            for address in &addresses {
                let Some(status) = self.client.status(*address).await else {
                    return false;
                };
                let state = self.client.state(*address).await;
                let is_ready = state.generation > Generation::ZERO
                    && status.settled == status.generation
                    && state.view.sessions.len() == addresses.len()
                    && self.is_staffed(&state);
                if !is_ready {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Sessions that wrote records as controller.
    pub async fn controller_authors(&self) -> BTreeSet<String> {
        let history: Option<HistoryReply> =
            self.client.get(self.address(0), "/admin/history").await;
        let records = history.expect("history").records;
        let authors = records.iter().map(|record| record.author.to_string());
        authors
            .filter(|author| author.starts_with("controller "))
            .collect()
    }

    /// Records of the log after a generation.
    pub async fn history_after(
        &self,
        address: SocketAddr,
        generation: Generation,
    ) -> Vec<ChangeRecord> {
        let history: Option<HistoryReply> = self.client.get(address, "/admin/history").await;
        let mut records = history.expect("history").records;
        records.retain(|record| record.generation > generation);
        records
    }

    /// Whether all workers take work for pool `rota`.
    fn is_staffed(&self, state: &FleetState) -> bool {
        let workers = state.instances.values().filter(|instance| {
            instance.pool.as_str() == "rota" && instance.state == InstanceState::Active
        });
        workers.count() == self.backends.names().len()
    }

    /// Waits until all entry instances act under a generation or a later one.
    pub async fn wait_applied(&self, generation: Generation, limit: Duration) -> Duration {
        let addresses = self.addresses();
        wait_until("generation applied everywhere", limit, async || {
            for address in &addresses {
                let status = self.client.status(*address).await;
                if status.is_none_or(|status| status.generation < generation) {
                    return false;
                }
            }
            true
        })
        .await
    }
}

pub fn put_pool(name: &str, size: usize, spare: bool) -> FleetChange {
    FleetChange::PutPool {
        name: PoolName::new(name),
        pool: PoolRecord {
            size: u32::try_from(size).expect("small size"),
            // Spare instances run no work, so that all of them may move at once.
            max_unavailable: if spare { 1_000 } else { 1 },
            spare,
        },
    }
}

pub fn put_team(name: &str, limit: u32) -> FleetChange {
    FleetChange::PutTeam {
        name: TeamName::new(name),
        team: TeamRecord { share: 1, limit },
    }
}

pub fn put_queue(name: &str, pool: &str, open: bool) -> FleetChange {
    FleetChange::PutQueue {
        name: QueueName::new(name),
        queue: QueueRecord {
            pool: PoolName::new(pool),
            open,
        },
    }
}

/// The key of the team `clock`, which may submit to the queue `repair`.
pub fn team_key() -> PresentedKey {
    PresentedKey {
        id: KeyId::new("k1"),
        secret: KeySecret::new([7; 32]),
    }
}

/// An entry instance as the platform lists it.
pub fn listed_entry(address: SocketAddr) -> PlatformInstance {
    PlatformInstance {
        name: InstanceName::new(address.to_string()),
        entry: true,
        address: address.to_string().into(),
        zone: ZoneName::new("a"),
        rack: RackName::new("a1"),
        image: ImageName::new("base"),
        state: ListedState::Live,
        boot: 1,
        cores: 16,
        memory_mb: 32_000,
        slots: 0,
    }
}
