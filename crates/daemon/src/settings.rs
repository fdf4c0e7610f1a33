use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use sesamedeal_core::ids::ZoneName;
use snafu::ResultExt;

use crate::error::{ParseSettingsSnafu, ReadSettingsSnafu, Result};

/// Settings of an entry instance.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// IP address and port for callers and peers. Port 0 takes any free port.
    pub listen: SocketAddr,
    /// Availability zone of this entry instance.
    pub zone: ZoneName,
    /// IP address and port of the platform's service.
    pub platform: SocketAddr,
}

impl DaemonSettings {
    /// Creates settings with the defaults.
    #[must_use]
    pub const fn new(listen: SocketAddr, zone: ZoneName, platform: SocketAddr) -> Self {
        Self {
            listen,
            zone,
            platform,
        }
    }

    /// Loads settings from a TOML file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or has an error.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
        toml::from_str(&text).context(ParseSettingsSnafu { path })
    }
}
