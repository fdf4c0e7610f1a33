use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sesamedeal_core::fleet::{ChangeRecord, FleetChange};
use sesamedeal_core::ids::Generation;

/// Request of `POST /admin/changes`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Generation that the change was planned from.
    pub expected: Generation,
    /// Operator who makes the change.
    pub author: CompactString,
    /// Changes, applied in order and as a whole.
    pub changes: Vec<FleetChange>,
}

/// Answer to `POST /admin/changes`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum AppendReply {
    /// The change is in the log.
    Accepted {
        /// Generation of the change.
        generation: Generation,
    },
    /// The log has moved on from the expected generation; nothing was changed.
    Conflict {
        /// Generation of the head.
        current: Generation,
        /// Records after the expected generation, the newest last.
        records: Vec<ChangeRecord>,
    },
}
