use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::format_compact;
use sesamedeal_core::ids::{ImageName, InstanceName, RackName, ZoneName};
use sesamedeal_store::protocol::{ListedState, PlatformInstance};
use tokio::time::{Instant, sleep};

use super::ControlClient;
use super::event_feed::EventFeed;
use super::process_signal::stop_requested;
use crate::ServerHandle;
use crate::backend::{BackendFaults, BackendMode, BackendSettings, BackendStandin, EventSink};
use crate::loopback::check_loopback;
use crate::platform::InstanceStatus;

/// Time between two looks at what the platform does with the instance.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Time that running tasks get when the process is stopped.
const DRAIN_TIME: Duration = Duration::from_secs(10);

/// Time in which the last answers are sent.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Options of `sesamedeal dev backend`.
#[derive(Debug, Clone)]
pub struct BackendOptions {
    /// Loopback address to listen on.
    pub listen: SocketAddr,
    /// Platform to register with and to report events to, if any.
    pub platform: Option<SocketAddr>,
    /// Name of the instance.
    pub name: InstanceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// Machine image.
    pub image: ImageName,
    /// Processor cores.
    pub cores: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Tasks that run at once.
    pub slots: u32,
}

impl BackendOptions {
    /// Creates options of a server of 64 cores, 128 GB and 8 slots, without a platform.
    #[must_use]
    pub fn new(listen: SocketAddr, name: &str) -> Self {
        Self {
            listen,
            platform: None,
            name: InstanceName::new(name),
            zone: ZoneName::new("zone-0"),
            rack: RackName::new("zone-0-rack-0"),
            image: ImageName::new("image-1"),
            cores: 64,
            memory_mb: 128 * 1024,
            slots: 8,
        }
    }

    fn instance(&self, address: SocketAddr) -> PlatformInstance {
        PlatformInstance {
            name: self.name.clone(),
            entry: false,
            address: format_compact!("{address}"),
            zone: self.zone.clone(),
            rack: self.rack.clone(),
            image: self.image.clone(),
            state: ListedState::Live,
            boot: 1,
            cores: self.cores,
            memory_mb: self.memory_mb,
            slots: self.slots,
        }
    }

    fn backend(&self, events: EventSink) -> BackendStandin {
        BackendStandin::with_settings(BackendSettings {
            slots: self.slots,
            events,
            ..BackendSettings::new(self.name.as_str())
        })
    }
}

/// Serves a backend server's stand-in until SIGINT, SIGTERM or `POST /dev/kill`.
///
/// `on_ready` is called with the address once the server listens and is registered.
///
/// # Errors
///
/// Fails when an address is not on loopback, the server's cannot be bound, or the platform does
/// not accept the registration.
pub async fn run_backend(options: BackendOptions, on_ready: impl FnOnce(SocketAddr)) -> Result<()> {
    serve_backend(options, on_ready, stop_requested()).await
}

/// Does what [`run_backend`] does until `stop` ends.
///
/// # Errors
///
/// See [`run_backend`].
pub async fn serve_backend(
    options: BackendOptions,
    on_ready: impl FnOnce(SocketAddr),
    stop: impl Future<Output = Result<()>>,
) -> Result<()> {
    check_loopback(options.listen)?;
    let client = options.platform.map(ControlClient::new).transpose()?;
    let feed = client.clone().map(EventFeed::new);
    let events = feed.as_ref().map(EventFeed::sink).unwrap_or_default();
    let backend = options.backend(events.clone());
    let server = backend.serve(options.listen).await?;
    let address = server.address();
    if let Some(client) = &client {
        client.put_instance(&options.instance(address)).await?;
    }
    on_ready(address);
    let mut process = BackendProcess {
        options,
        address,
        backend,
        server: Some(server),
        events,
        draining: false,
    };
    let result = tokio::select! {
        result = stop => result.map(|()| true),
        result = process.follow(client.as_ref()) => result.map(|()| false),
    };
    if matches!(result, Ok(true)) {
        process.finish_tasks().await;
        if let Some(client) = &client {
            // The platform may have removed the instance or stopped before.
            drop(client.remove_instance(&process.options.name).await);
        }
    }
    process.stop().await;
    if let Some(feed) = feed {
        feed.finish().await;
    }
    result.map(drop)
}

struct BackendProcess {
    options: BackendOptions,
    address: SocketAddr,
    backend: BackendStandin,
    /// None while the instance reboots.
    server: Option<ServerHandle>,
    events: EventSink,
    draining: bool,
}

impl BackendProcess {
    /// Does what the platform does with the instance; ends when the server is killed.
    async fn follow(&mut self, client: Option<&ControlClient>) -> Result<()> {
        loop {
            if self.server.is_some() {
                tokio::select! {
                    () = self.backend.killed() => return Ok(()),
                    () = sleep(STATUS_INTERVAL) => {}
                }
            } else {
                sleep(STATUS_INTERVAL).await;
            }
            let Some(client) = client else {
                continue;
            };
            // Without an answer the server goes on as it is.
            if let Ok(status) = client.instance_status(&self.options.name).await {
                self.obey(status).await?;
            }
        }
    }

    async fn obey(&mut self, status: InstanceStatus) -> Result<()> {
        if status.rebooting {
            self.stop().await;
            return Ok(());
        }
        if self.server.is_none() {
            self.backend = self.options.backend(self.events.clone());
            self.server = Some(self.backend.serve(self.address).await?);
            self.draining = false;
        }
        if status.leaving && !self.draining {
            self.draining = true;
            self.drain();
        }
        Ok(())
    }

    fn drain(&self) {
        self.backend.set_faults(BackendFaults {
            mode: BackendMode::Draining,
            ..self.backend.faults()
        });
    }

    async fn finish_tasks(&self) {
        self.drain();
        let start = Instant::now();
        while self.backend.used_slots() > 0 && start.elapsed() < DRAIN_TIME {
            sleep(Duration::from_millis(20)).await;
        }
        // A task frees its slot shortly before its answer is sent.
        sleep(ANSWER_TIME).await;
    }

    async fn stop(&mut self) {
        if let Some(server) = self.server.take() {
            self.backend.kill();
            server.stop().await;
        }
    }
}
