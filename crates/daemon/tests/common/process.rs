//! An entry instance as a process of its own.

use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus};

use sesamedeal_core::ids::InstanceName;
use sesamedeal_standin::platform::PlatformStandin;

use super::PATIENCE;
use super::cluster::{listed_entry, wait_until};
use super::link::free_address;

/// A `sesamedeald` process; it is killed when dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    child: Child,
    pub address: SocketAddr,
    _settings: tempfile::NamedTempFile,
}

impl DaemonProcess {
    /// Starts a process with these settings beyond the address, zone and platform, and lists it.
    pub async fn start(platform: &PlatformStandin, store: SocketAddr, settings: &str) -> Self {
        let address = free_address().await;
        let file = tempfile::NamedTempFile::new().expect("temporary file");
        let text = format!(
            "listen = \"{address}\"\nzone = \"a\"\nplatform = \"{store}\"\nlog_level = \"error\"\n{settings}"
        );
        std::fs::write(file.path(), text).expect("settings");
        let child = Command::new(env!("CARGO_BIN_EXE_sesamedeald"))
            .arg("--settings")
            .arg(file.path())
            .spawn()
            .expect("process");
        platform.put_instance(listed_entry(address));
        Self {
            child,
            address,
            _settings: file,
        }
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let status = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -{name} {}", self.child.id()))
            .status()
            .expect("kill");
        assert!(status.success());
    }

    pub async fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("process ended", PATIENCE, async || {
            status = self.child.try_wait().expect("status");
            status.is_some()
        })
        .await;
        status.expect("ended")
    }

    pub fn name(&self) -> InstanceName {
        InstanceName::new(self.address.to_string())
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // A process that has ended already is what is wanted.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
