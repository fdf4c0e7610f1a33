//! Keys and contents of the rows in the table service.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use sesamedeal_core::ids::{Generation, OperationId, SessionId};

/// Row that holds the head of the change log.
pub const HEAD: &str = "head";
/// Row that holds the highest settled generation.
pub const SETTLED: &str = "settled";
/// Row of the controller's lease.
pub const CONTROLLER_LEASE: &str = "lease/controller";
/// Prefix of the rows of the change log.
pub const CHANGE_PREFIX: &str = "change/";
/// Prefix of the session rows.
pub const SESSION_PREFIX: &str = "session/";

/// Key of a row of the change log. Keys sort in order of generation.
#[must_use]
pub fn change_key(generation: Generation) -> CompactString {
    format_compact!("{CHANGE_PREFIX}{:012}", generation.0)
}

/// Key of a session row.
#[must_use]
pub fn session_key(session: SessionId) -> CompactString {
    format_compact!("{SESSION_PREFIX}{session}")
}

/// Key of the object that holds the state at a generation.
#[must_use]
pub fn snapshot_key(generation: Generation) -> CompactString {
    format_compact!("snapshot/{:012}", generation.0)
}

/// Content of the row `head`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadRecord {
    /// Generation of the last record in the log.
    pub generation: Generation,
    /// Generation of the newest snapshot, zero if there is none.
    pub snapshot: Generation,
}

/// Content of the row `settled`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettledRecord {
    /// Highest settled generation.
    pub generation: Generation,
}

/// Prefix of the rows that record the outcome of writes.
pub const OPERATION_PREFIX: &str = "operation/";
/// Prefix of the objects that hold snapshots.
pub const SNAPSHOT_PREFIX: &str = "snapshot/";

/// Key of the row that records the outcome of a write.
#[must_use]
pub fn operation_key(operation: OperationId) -> CompactString {
    format_compact!("{OPERATION_PREFIX}{operation}")
}

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperationMark {
    /// The write took effect.
    Written,
    /// The write was withdrawn before it took effect.
    Withdrawn,
}

/// Content of a row `operation/<id>`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationRecord {
    /// Outcome of the write.
    pub mark: OperationMark,
    /// Unix time of the write in milliseconds, for the cleanup.
    pub at_ms: u64,
}
