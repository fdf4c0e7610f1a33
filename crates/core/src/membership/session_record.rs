use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{Generation, InstanceName, SessionId, ZoneName};

/// Whether a session accepts work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SessionState {
    /// Serves callers.
    Active,
    /// Finishes its work and accepts no more.
    Leaving,
    /// Has nothing running and will start nothing.
    Left,
}

/// Row `session/<id>` of the table service, written by the entry instance of the session.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRecord {
    /// The session.
    pub session: SessionId,
    /// Platform name of the instance that it runs on.
    pub instance: InstanceName,
    /// IP address and port at which peers reach it.
    pub address: CompactString,
    /// Availability zone.
    pub zone: ZoneName,
    /// Generation that it applies.
    pub applied: Generation,
    /// Highest generation that no running work of the session contradicts.
    pub quiesced: Generation,
    /// Number of times that the row was renewed.
    pub renewals: u64,
    /// Whether it accepts work.
    pub state: SessionState,
}
