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
use sesamedeal_standin::ServerHandle;
use sesamedeal_standin::platform::PlatformStandin;
use sesamedeal_store::protocol::{ListedState, PlatformInstance};
use sesamedeal_store::{ChangeLog, PlatformClient, PlatformSettings};

use crate::error::{CliError, Result};

/// Open queue that the load goes to.
pub(super) const QUEUE: &str = "swap";

/// Slots of each backend server.
const SLOTS: u32 = 8;

/// An entry instance with its platform.
pub(super) struct RequestFleet {
    pub(super) entry: EntryInstance,
    _platform: ServerHandle,
}

pub(super) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Error for a part that does not start.
pub(super) fn failed(what: &str, error: impl std::fmt::Display) -> CliError {
    CliError::Start {
        what: what.to_owned(),
        reason: error.to_string(),
    }
}

impl RequestFleet {
    /// Starts an entry instance with one pool of the backend servers and one open queue.
    pub(super) async fn start(backends: &[SocketAddr]) -> Result<Self> {
        let platform = PlatformStandin::new();
        let handle = platform
            .serve(loopback())
            .await
            .map_err(|error| failed("platform", error))?;
        for (index, address) in backends.iter().enumerate() {
            platform.put_instance(listed(format!("w{index}"), false, *address));
        }
        let client = PlatformClient::new(PlatformSettings::new(handle.address().to_string()));
        ChangeLog::new(client)
            .append(
                Generation::ZERO,
                OperationId(1),
                "measure",
                changes(backends),
            )
            .await
            .map_err(|error| failed("change log", error))?;
        let mut settings = DaemonSettings::new(loopback(), ZoneName::new("a"), handle.address());
        settings.list_lag = Duration::from_millis(500);
        settings.log_level = LogLevel::Error;
        let entry = EntryInstance::start(settings)
            .await
            .map_err(|error| failed("entry instance", error))?;
        platform.put_instance(listed(entry.address().to_string(), true, entry.address()));
        Ok(Self {
            entry,
            _platform: handle,
        })
    }
}

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
        memory_mb: 131_072,
        slots: if entry { 0 } else { SLOTS },
    }
}

fn changes(backends: &[SocketAddr]) -> Vec<FleetChange> {
    let pool = PoolName::new("rota");
    let size = u32::try_from(backends.len()).unwrap_or(u32::MAX);
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
            name: QueueName::new(QUEUE),
            queue: QueueRecord {
                pool: pool.clone(),
                open: true,
            },
        },
    ];
    let instances = backends.iter().enumerate();
    changes.extend(instances.map(|(index, address)| FleetChange::PutInstance {
        name: InstanceName::new(format!("w{index}")),
        instance: InstanceRecord {
            pool: pool.clone(),
            state: InstanceState::Active,
            address: address.to_string().into(),
            zone: ZoneName::new("a"),
            rack: RackName::new("a1"),
            image: ImageName::new("base"),
            cores: 64,
            memory_mb: 131_072,
            slots: SLOTS,
            boot: 1,
            since: Generation::ZERO,
            maintained: 0,
        },
    }));
    changes
}
