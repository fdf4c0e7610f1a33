use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{Generation, InstanceName, SessionId, ZoneName};

/// Whether a session takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionState {
    /// Serves callers.
    Active,
    /// Finishes its work and takes no more.
    Leaving,
    /// Has nothing running and will start nothing.
    Left,
}

/// Row `session/<id>` of the table service, written by the session's own entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The session.
    pub session: SessionId,
    /// Platform name of the instance that it runs on.
    pub instance: InstanceName,
    /// IP address and port for its peers.
    pub address: CompactString,
    /// Availability zone.
    pub zone: ZoneName,
    /// Generation that it acts under.
    pub applied: Generation,
    /// Highest generation that nothing it started contradicts.
    pub quiesced: Generation,
    /// Number of times that the row was renewed.
    pub renewals: u64,
    /// Whether it takes work.
    pub state: SessionState,
}
