use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use compact_str::format_compact;
use parking_lot::Mutex;
use sesamedeal_core::ids::{ImageName, InstanceName, RackName, ZoneName};
use sesamedeal_store::protocol::{ListedState, PlatformInstance};
use tokio::sync::broadcast::error::RecvError;
use tokio::task::JoinHandle;

use super::{BackendFaults, BackendMode, BackendSettings, BackendStandin, EventSink};
use crate::ServerHandle;
use crate::observer::{FleetEvent, FleetObserver};
use crate::platform::{InstanceEvent, PlatformStandin};

/// Sizes of a fleet of backend servers. The defaults are those of the Trust.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of backend servers.
    pub instances: usize,
    /// Availability zones, over which they are spread in turn.
    pub zones: usize,
    /// Instances per rack.
    pub rack_size: usize,
    /// Machine image.
    pub image: ImageName,
    /// Processor cores of each.
    pub cores: u32,
    /// Memory of each in MB.
    pub memory_mb: u32,
    /// Tasks that each runs at once.
    pub slots: u32,
}

impl FleetSettings {
    /// Creates settings for a number of servers of 64 cores and 128 GB in 4 availability zones.
    #[must_use]
    pub fn new(instances: usize) -> Self {
        Self {
            instances,
            zones: 4,
            rack_size: 4,
            image: ImageName::new("image-1"),
            cores: 64,
            memory_mb: 128 * 1024,
            slots: 8,
        }
    }

    /// Description of the server with a number, from 0.
    fn instance(&self, number: usize, address: SocketAddr) -> PlatformInstance {
        let zone = number % self.zones;
        let rack = number / self.zones / self.rack_size;
        PlatformInstance {
            name: InstanceName::new(format_compact!("worker-{number:03}")),
            entry: false,
            address: format_compact!("{address}"),
            zone: ZoneName::new(format_compact!("zone-{zone}")),
            rack: RackName::new(format_compact!("zone-{zone}-rack-{rack}")),
            image: self.image.clone(),
            state: ListedState::Live,
            boot: 1,
            cores: self.cores,
            memory_mb: self.memory_mb,
            slots: self.slots,
        }
    }
}

#[derive(Debug)]
struct FleetMember {
    backend: BackendStandin,
    instance: PlatformInstance,
    server: Option<ServerHandle>,
}

type Members = Arc<Mutex<BTreeMap<InstanceName, FleetMember>>>;

/// Backend servers on loopback that the platform lists. They follow its reboots and drains, and
/// report to its observer. They stop when the fleet is dropped.
#[derive(Debug)]
pub struct BackendFleet {
    platform: PlatformStandin,
    members: Members,
    follower: JoinHandle<()>,
}

impl Drop for BackendFleet {
    fn drop(&mut self) {
        self.follower.abort();
    }
}

impl BackendFleet {
    /// Starts the servers and fills the platform's list.
    ///
    /// # Errors
    ///
    /// Fails when a loopback port cannot be bound.
    pub async fn start(
        platform: &PlatformStandin,
        settings: &FleetSettings,
    ) -> std::io::Result<Self> {
        let members = Members::default();
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        for number in 0..settings.instances {
            let name = settings.instance(number, any).name;
            let backend = new_backend(&name, settings.slots, platform.observer());
            let server = backend.serve(any).await?;
            let instance = settings.instance(number, server.address());
            platform.put_instance(instance.clone());
            let member = FleetMember {
                backend,
                instance,
                server: Some(server),
            };
            members.lock().insert(name, member);
        }
        let follower = tokio::spawn(follow(platform.clone(), Arc::clone(&members)));
        Ok(Self {
            platform: platform.clone(),
            members,
            follower,
        })
    }

    /// Names of the servers in order.
    #[must_use]
    pub fn names(&self) -> Vec<InstanceName> {
        self.members.lock().keys().cloned().collect()
    }

    /// The server that runs under a name; it is another one after a reboot.
    #[must_use]
    pub fn backend(&self, name: &InstanceName) -> Option<BackendStandin> {
        let members = self.members.lock();
        members.get(name).map(|member| member.backend.clone())
    }

    /// Kills a server without notice and takes it off the platform's list.
    pub async fn kill(&self, name: &InstanceName) {
        stop_member(&self.members, name).await;
        self.platform.remove_instance(name);
        let worker = name.as_str().into();
        self.platform.observer().record(FleetEvent::OutOfService {
            worker,
            pool: None,
            planned: false,
        });
    }

    /// Starts a killed server again under its address, with a new boot number.
    ///
    /// # Errors
    ///
    /// Fails when its port cannot be bound again.
    pub async fn restart(&self, name: &InstanceName) -> std::io::Result<()> {
        start_member(&self.platform, &self.members, name).await?;
        let members = self.members.lock();
        let instance = members.get(name).map(|member| member.instance.clone());
        drop(members);
        if let Some(instance) = instance {
            self.platform.put_instance(instance);
        }
        let worker = name.as_str().into();
        self.platform
            .observer()
            .record(FleetEvent::InService { worker });
        Ok(())
    }
}

fn new_backend(name: &InstanceName, slots: u32, observer: &FleetObserver) -> BackendStandin {
    BackendStandin::with_settings(BackendSettings {
        slots,
        events: EventSink::with_observer(observer.clone()),
        ..BackendSettings::new(name.as_str())
    })
}

/// Does on the servers what the platform does to their instances.
async fn follow(platform: PlatformStandin, members: Members) {
    let mut events = platform.instance_events();
    loop {
        match events.recv().await {
            Ok(InstanceEvent::RebootStarted(name)) => stop_member(&members, &name).await,
            Ok(InstanceEvent::RebootDone(name)) => {
                if let Err(error) = start_member(&platform, &members, &name).await {
                    eprintln!("backend server {name} cannot start after its reboot: {error}");
                }
            }
            Ok(InstanceEvent::Leaving(name)) => {
                let members = members.lock();
                if let Some(member) = members.get(&name) {
                    member.backend.set_faults(BackendFaults {
                        mode: BackendMode::Draining,
                        ..member.backend.faults()
                    });
                }
            }
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return,
        }
    }
}

async fn stop_member(members: &Members, name: &InstanceName) {
    let server = {
        let mut members = members.lock();
        let Some(member) = members.get_mut(name) else {
            return;
        };
        member.backend.kill();
        member.server.take()
    };
    if let Some(server) = server {
        server.stop().await;
    }
}

async fn start_member(
    platform: &PlatformStandin,
    members: &Members,
    name: &InstanceName,
) -> std::io::Result<()> {
    let described = {
        let members = members.lock();
        let member = members.get(name);
        member.map(|member| (member.instance.address.clone(), member.instance.slots))
    };
    let Some((address, slots)) = described else {
        return Ok(());
    };
    let address: SocketAddr = address.parse().map_err(std::io::Error::other)?;
    let backend = new_backend(name, slots, platform.observer());
    let server = backend.serve(address).await?;
    let mut members = members.lock();
    if let Some(member) = members.get_mut(name) {
        member.backend = backend;
        member.server = Some(server);
        member.instance.boot += 1;
    }
    Ok(())
}
