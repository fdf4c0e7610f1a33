//! A platform and one or more entry instances on loopback.

use std::net::SocketAddr;

use compact_str::format_compact;
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
use sesamedeal_platform::{AppendOutcome, ChangeLog, PlatformClient, PlatformSettings};
use sesamedeal_standin::ServerHandle;
use sesamedeal_standin::platform::PlatformStandin;

use super::caller::get;
use super::wait_for;

pub const KEY_ID: &str = "k1";

/// A free loopback address.
pub fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("valid address")
}

/// The key of the team `clock`, which may submit to the queue `repair`.
pub fn team_key() -> PresentedKey {
    PresentedKey {
        id: KeyId::new(KEY_ID),
        secret: KeySecret::new([7; 32]),
    }
}

/// Platform with a fleet of one pool, the open queue `swap` and the queue `repair`.
#[derive(Debug)]
pub struct TestFleet {
    pub platform: PlatformStandin,
    handle: ServerHandle,
    generation: u64,
}

impl TestFleet {
    pub async fn start(backends: &[SocketAddr]) -> Self {
        let platform = PlatformStandin::new();
        let handle = platform.serve(loopback()).await.expect("platform");
        let mut fleet = Self {
            platform,
            handle,
            generation: 0,
        };
        fleet.change(initial_changes(backends)).await;
        fleet
    }

    /// Settings of an entry instance of this fleet.
    pub fn settings(&self) -> DaemonSettings {
        DaemonSettings::new(loopback(), ZoneName::new("a"), self.handle.address())
    }

    /// Starts an entry instance and waits until it is ready.
    pub async fn entry(&self) -> EntryInstance {
        self.entry_with(self.settings()).await
    }

    pub async fn entry_with(&self, settings: DaemonSettings) -> EntryInstance {
        let entry = EntryInstance::start(settings)
            .await
            .expect("entry instance");
        let address = entry.address();
        wait_for("readiness", async || {
            get(address, "/ready").await.status == 200
        })
        .await;
        entry
    }

    /// Appends changes to the log.
    pub async fn change(&mut self, changes: Vec<FleetChange>) {
        let address = self.handle.address().to_string();
        let client = PlatformClient::new(PlatformSettings::new(address));
        let expected = Generation(self.generation);
        let operation = OperationId(u128::from(self.generation) + 1);
        let outcome = ChangeLog::new(client)
            .append(expected, operation, "test", changes)
            .await
            .expect("append");
        assert_eq!(outcome, AppendOutcome::Accepted(expected.next()));
        self.generation += 1;
    }
}

fn initial_changes(backends: &[SocketAddr]) -> Vec<FleetChange> {
    let pool = PoolName::new("rota");
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
                size: 1,
                max_unavailable: 1,
                spare: false,
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
