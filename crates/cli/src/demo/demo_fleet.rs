use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use sesamedeal_core::fleet::{FleetChange, InstanceRecord, InstanceState, SheetItem};
use sesamedeal_core::ids::{Generation, OperationId, PoolName, ZoneName};
use sesamedeal_core::sheet::ParsedSheet;
use sesamedeal_daemon::{DaemonSettings, EntryInstance, LogLevel};
use sesamedeal_standin::ServerHandle;
use sesamedeal_standin::backend::{BackendFleet, FleetSettings};
use sesamedeal_standin::platform::PlatformStandin;
use sesamedeal_store::protocol::PlatformInstance;
use sesamedeal_store::{ChangeLog, PlatformClient, PlatformSettings};
use tokio::time::{Instant, sleep};

use crate::args::OperatorArgs;
use crate::commands::entry_instance;
use crate::error::{CliError, Result};
use crate::operator_client::OperatorClient;

/// Number of backend servers, as the Trust has.
const WORKERS: usize = 50;

/// Number of entry instances.
const ENTRIES: usize = 4;

/// Longest time until the fleet is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two looks at the fleet.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// Lag of the platform's instance list.
const LIST_LAG: Duration = Duration::from_millis(300);

/// Time that a reboot takes.
const REBOOT_TIME: Duration = Duration::from_millis(500);

/// A platform, backend servers and entry instances in this process.
#[derive(Debug)]
pub(crate) struct DemoFleet {
    pub platform: PlatformStandin,
    pub backends: BackendFleet,
    pub entries: Vec<EntryInstance>,
    places: Vec<PoolName>,
    server: ServerHandle,
}

impl DemoFleet {
    /// Starts the fleet with the pools of `sheet` filled, and waits until it is ready.
    pub(crate) async fn start(sheet: &ParsedSheet) -> Result<Self> {
        let platform = PlatformStandin::new();
        platform.set_list_lag(LIST_LAG);
        platform.set_reboot_time(REBOOT_TIME);
        let server = platform
            .serve(loopback())
            .await
            .map_err(failed("platform"))?;
        let sizes = FleetSettings::new(WORKERS);
        let backends = BackendFleet::start(&platform, &sizes)
            .await
            .map_err(failed("backend servers"))?;
        let places = fill_pools(server.address(), sheet).await?;
        let mut fleet = Self {
            platform,
            backends,
            entries: Vec::new(),
            places,
            server,
        };
        for number in 0..ENTRIES {
            fleet.add_entry(number).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn add_entry(&mut self, number: usize) -> Result<()> {
        let zone = ZoneName::new(format!("zone-{number}"));
        let settings = DaemonSettings {
            list_lag: Duration::from_secs(1),
            task_lease: Duration::from_secs(2),
            shutdown_deadline: Duration::from_secs(5),
            log_level: LogLevel::Error,
            ..DaemonSettings::new(loopback(), zone.clone(), self.server.address())
        };
        let entry = EntryInstance::start(settings)
            .await
            .map_err(failed("entry instance"))?;
        self.platform
            .put_instance(entry_instance(entry.address(), zone));
        self.entries.push(entry);
        Ok(())
    }

    /// Number of the first backend server that was put into a pool.
    pub(crate) fn first_place(&self, pool: &str) -> usize {
        let place = self.places.iter().position(|name| name.as_str() == pool);
        place.unwrap_or_default()
    }

    /// Addresses of the entry instances.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(EntryInstance::address).collect()
    }

    /// Client for operators' commands at an entry instance.
    pub(crate) fn operator(&self, entry: usize) -> Result<OperatorClient> {
        OperatorClient::new(&OperatorArgs {
            entry: self.entries[entry].address(),
            operator_key_file: None,
            author: "demo".to_owned(),
            wait_s: 10,
        })
    }

    /// Waits until all entry instances are in the view and the newest generation is settled.
    async fn wait_ready(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let client = self.operator(0)?;
        loop {
            let status = client.status().await?;
            let state = client.state().await?;
            if status.settled == state.generation && state.view.sessions.len() == ENTRIES {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(CliError::Start {
                    what: "fleet".to_owned(),
                    reason: format!("generation {} is not settled", state.generation),
                });
            }
            sleep(LOOK_PERIOD).await;
        }
    }
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn failed<E: std::fmt::Display>(what: &'static str) -> impl Fn(E) -> CliError {
    move |error| CliError::Start {
        what: what.to_owned(),
        reason: error.to_string(),
    }
}

/// Writes the first record: the pools of the sheet, filled with the backend servers in order.
async fn fill_pools(platform: SocketAddr, sheet: &ParsedSheet) -> Result<Vec<PoolName>> {
    let client = PlatformClient::new(PlatformSettings::new(platform.to_string()));
    let listed = wait_listed(&client).await?;
    let mut changes = Vec::new();
    let mut places = Vec::new();
    for row in &sheet.rows {
        if let SheetItem::Pool { name, pool } = &row.item {
            let (name, pool) = (name.clone(), pool.clone());
            places.extend((0..pool.size).map(|_| name.clone()));
            changes.push(FleetChange::PutPool { name, pool });
        }
    }
    changes.extend(
        listed
            .iter()
            .zip(&places)
            .map(|(listed, pool)| put_instance(listed, pool)),
    );
    let appended = ChangeLog::new(client)
        .append(Generation::ZERO, OperationId(1), "demo", changes)
        .await;
    appended.map_err(failed("first record"))?;
    Ok(places)
}

/// Waits until the lagging list shows all backend servers.
async fn wait_listed(client: &PlatformClient) -> Result<Vec<PlatformInstance>> {
    loop {
        let list = client.instances().await.map_err(failed("instance list"))?;
        if list.instances.len() >= WORKERS {
            return Ok(list.instances);
        }
        sleep(LOOK_PERIOD).await;
    }
}

fn put_instance(listed: &PlatformInstance, pool: &PoolName) -> FleetChange {
    FleetChange::PutInstance {
        name: listed.name.clone(),
        instance: InstanceRecord {
            pool: pool.clone(),
            state: InstanceState::Active,
            address: listed.address.clone(),
            zone: listed.zone.clone(),
            rack: listed.rack.clone(),
            image: listed.image.clone(),
            cores: listed.cores,
            memory_mb: listed.memory_mb,
            slots: listed.slots,
            boot: listed.boot,
            since: Generation::ZERO,
            maintained: 0,
        },
    }
}
