//! A platform and one or more entry instances on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::format_compact;
use parking_lot::Mutex;
use sesamedeal_core::fleet::{
    FleetChange, InstanceRecord, InstanceState, KeyRecord, OPEN_TEAM, PoolRecord, QueueRecord,
    TeamRecord,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, KeyId, OperationId, PoolName, QueueName, RackName,
    TeamName, ZoneName,
};
use sesamedeal_core::keys::{KeySecret, PresentedKey};
use sesamedeal_daemon::{DaemonSettings, EntryInstance};
use sesamedeal_standin::ServerHandle;
use sesamedeal_standin::platform::PlatformStandin;
use sesamedeal_store::protocol::PlatformInstance;
use sesamedeal_store::{AppendOutcome, ChangeLog, PlatformClient, PlatformSettings};

use super::cluster::{listed_entry, loopback};
use super::operator::TestClient;
use super::process::DaemonProcess;
use super::wait_for;

const POOL: &str = "rota";

pub const KEY_ID: &str = "k1";

/// The key of the team `clock`, which may submit to the queue `repair`.
pub fn team_key() -> PresentedKey {
    PresentedKey {
        id: KeyId::new(KEY_ID),
        secret: KeySecret::new([7; 32]),
    }
}

/// Platform with a fleet of one pool, the open queue `swap` and the queue `repair`, whose workers
/// are backend servers of the test.
#[derive(Debug)]
pub struct TestFleet {
    pub platform: PlatformStandin,
    handle: ServerHandle,
    entries: Mutex<Vec<SocketAddr>>,
    workers: usize,
}

impl TestFleet {
    pub async fn start(backends: &[SocketAddr]) -> Self {
        let platform = PlatformStandin::new();
        let handle = platform.serve(loopback()).await.expect("platform");
        for (index, address) in backends.iter().enumerate() {
            platform.put_instance(listed_worker(index, *address));
        }
        let fleet = Self {
            platform,
            handle,
            entries: Mutex::new(Vec::new()),
            workers: backends.len(),
        };
        fleet.change(initial_changes(backends)).await;
        fleet
    }

    /// Settings of an entry instance of this fleet. The list lag is short, so that the view
    /// settles within seconds, and long enough that a busy machine does not make the entry instance
    /// take itself for isolated.
    pub fn settings(&self) -> DaemonSettings {
        DaemonSettings {
            list_lag: Duration::from_secs(2),
            head_period: Duration::from_millis(200),
            controller_period: Duration::from_millis(200),
            heartbeat: Duration::from_millis(200),
            ..DaemonSettings::new(loopback(), ZoneName::new("a"), self.handle.address())
        }
    }

    /// Starts an entry instance and waits until it takes work.
    pub async fn entry(&self) -> EntryInstance {
        self.entry_with(self.settings()).await
    }

    /// Starts an entry instance as a process with these settings beyond the required ones, and
    /// waits until it takes work.
    pub async fn process(&self, settings: &str) -> DaemonProcess {
        let store = self.handle.address();
        let process = DaemonProcess::start(&self.platform, store, settings).await;
        self.entries.lock().push(process.address);
        self.wait_ready().await;
        process
    }

    pub async fn entry_with(&self, settings: DaemonSettings) -> EntryInstance {
        let entry = EntryInstance::start(settings)
            .await
            .expect("entry instance");
        let address = entry.address();
        self.platform.put_instance(listed_entry(address));
        self.entries.lock().push(address);
        self.wait_ready().await;
        entry
    }

    /// Takes an entry instance off the platform's list.
    pub fn remove_entry(&self, address: SocketAddr) {
        let name = InstanceName::new(address.to_string());
        assert!(self.platform.remove_instance(&name), "listed before");
        self.entries.lock().retain(|entry| *entry != address);
    }

    /// Waits until all entry instances are in the view, the view has settled and all workers are
    /// active in their pool.
    pub async fn wait_ready(&self) {
        let entries = self.entries.lock().clone();
        let client = TestClient::new();
        wait_for("fleet ready", async || {
            for address in &entries {
                let Some(status) = client.status(*address).await else {
                    return false;
                };
                let state = client.state(*address).await;
                let instances = state.instances.values();
                let active = instances.filter(|instance| {
                    instance.pool.as_str() == POOL && instance.state.is_active()
                });
                let is_ready = status.settled == status.generation
                    && state.view.sessions.len() == entries.len()
                    && active.count() == self.workers;
                if !is_ready {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Appends changes to the log, again after a conflict with the controller.
    pub async fn change(&self, changes: Vec<FleetChange>) -> Generation {
        let address = self.handle.address().to_string();
        let log = ChangeLog::new(PlatformClient::new(PlatformSettings::new(address)));
        loop {
            let (head, _) = log.head().await.expect("head");
            let operation = OperationId(rand::random());
            let outcome = log
                .append(head.generation, operation, "test", changes.clone())
                .await
                .expect("append");
            if let AppendOutcome::Accepted(generation) = outcome {
                return generation;
            }
        }
    }
}

fn listed_worker(index: usize, address: SocketAddr) -> PlatformInstance {
    PlatformInstance {
        name: InstanceName::new(format_compact!("w{index}")),
        entry: false,
        cores: 64,
        memory_mb: 128_000,
        slots: 8,
        ..listed_entry(address)
    }
}

fn initial_changes(backends: &[SocketAddr]) -> Vec<FleetChange> {
    let pool = PoolName::new(POOL);
    let team = |name: &str| FleetChange::PutTeam {
        name: TeamName::new(name),
        team: TeamRecord {
            share: 1,
            limit: 1_000,
        },
    };
    let queue = |name: &str, open| FleetChange::PutQueue {
        name: QueueName::new(name),
        queue: QueueRecord {
            pool: pool.clone(),
            open,
        },
    };
    let mut changes = vec![
        FleetChange::PutPool {
            name: pool.clone(),
            pool: PoolRecord {
                size: u32::try_from(backends.len()).expect("small size"),
                max_unavailable: 1,
                spare: false,
            },
        },
        FleetChange::PutPool {
            name: PoolName::new("spare"),
            pool: PoolRecord {
                size: 0,
                max_unavailable: 1,
                spare: true,
            },
        },
        team(OPEN_TEAM),
        team("clock"),
        queue("swap", true),
        queue("repair", false),
        FleetChange::GrantKey {
            id: KeyId::new(KEY_ID),
            key: KeyRecord {
                team: TeamName::new("clock"),
                hash: team_key().secret.hash(),
                withdrawn: false,
            },
        },
    ];
    changes.extend(backends.iter().enumerate().map(|(index, address)| {
        let instance = InstanceRecord {
            pool: pool.clone(),
            state: InstanceState::Active,
            address: address.to_string().into(),
            zone: ZoneName::new("a"),
            rack: RackName::new("a1"),
            image: ImageName::new("base"),
            cores: 64,
            memory_mb: 128_000,
            slots: 8,
            boot: 1,
            since: Generation::ZERO,
            maintained: 0,
        };
        FleetChange::PutInstance {
            name: InstanceName::new(format_compact!("w{index}")),
            instance,
        }
    }));
    changes
}
