//! The fleet that the load goes through.

use std::net::SocketAddr;
use std::time::Duration;

use sesamedeal_core::fleet::{
    FleetChange, InstanceRecord, InstanceState, PoolRecord, QueueRecord, TeamRecord,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, OperationId, PoolName, QueueName, RackName, TeamName,
    ZoneName,
};
use sesamedeal_daemon::{DaemonSettings, EntryInstance, LogLevel};
use sesamedeal_platform::protocol::{ListedState, PlatformInstance};
use sesamedeal_platform::{ChangeLog, PlatformClient, PlatformSettings};
use sesamedeal_standin::platform::PlatformStandin;

use crate::loopback;

fn listed(name: String, entry: bool, address: SocketAddr) -> PlatformInstance {
    PlatformInstance {
        name: InstanceName::new(name),
        entry,
        address: address.to_string().into(),
        zone: ZoneName::new("a"),
        rack: RackName::new("a1"),
        image: ImageName::new("base"),
        state: ListedState::Live,
        boot: 1,
        cores: 64,
        memory_mb: 128_000,
        slots: if entry { 0 } else { 8 },
    }
}

fn changes(backends: &[SocketAddr]) -> Vec<FleetChange> {
    let pool = PoolName::new("rota");
    let size = u32::try_from(backends.len()).expect("size");
    let put_pool = |name: &str, size, spare| FleetChange::PutPool {
        name: PoolName::new(name),
        pool: PoolRecord {
            size,
            max_unavailable: 1,
            spare,
        },
    };
    let mut changes = vec![
        put_pool("rota", size, false),
        put_pool("spare", 0, true),
        FleetChange::PutTeam {
            name: TeamName::new("open"),
            team: TeamRecord {
                share: 1,
                limit: 10_000,
            },
        },
        FleetChange::PutQueue {
            name: QueueName::new("swap"),
            queue: QueueRecord {
                pool: pool.clone(),
                open: true,
            },
        },
    ];
    changes.extend(
        backends
            .iter()
            .enumerate()
            .map(|(index, address)| FleetChange::PutInstance {
                name: InstanceName::new(format!("w{index}")),
                instance: InstanceRecord {
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
                },
            }),
    );
    changes
}

/// Starts an entry instance in front of the backend servers.
pub(crate) async fn entry(backends: &[SocketAddr]) -> EntryInstance {
    let platform = PlatformStandin::new();
    let handle = platform.serve(loopback()).await.expect("platform");
    for (index, address) in backends.iter().enumerate() {
        platform.put_instance(listed(format!("w{index}"), false, *address));
    }
    let client = PlatformClient::new(PlatformSettings::new(handle.address().to_string()));
    let log = ChangeLog::new(client);
    let appended = log.append(Generation::ZERO, OperationId(1), "load", changes(backends));
    appended.await.expect("append");
    let mut settings = DaemonSettings::new(loopback(), ZoneName::new("a"), handle.address());
    settings.list_lag = Duration::from_millis(500);
    settings.log_level = LogLevel::Error;
    let entry = EntryInstance::start(settings).await.expect("entry");
    platform.put_instance(listed(entry.address().to_string(), true, entry.address()));
    std::mem::forget(handle);
    entry
}
