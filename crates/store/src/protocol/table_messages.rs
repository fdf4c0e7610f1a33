use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use sesamedeal_core::ids::OperationId;

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: CompactString,
    /// Version of the row; it grows with each write to the row.
    pub version: u64,
    /// Operation that wrote the row last.
    pub operation: OperationId,
    /// Content of the row.
    pub value: Value,
}

/// Request of `POST /v1/table/read`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadRequest {
    /// Keys of the rows wanted.
    pub keys: Vec<CompactString>,
}

/// Request of `POST /v1/table/scan`: rows in order of their keys.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Prefix of the keys.
    pub prefix: CompactString,
    /// Only keys greater than this one, if given.
    pub after: Option<CompactString>,
    /// Most rows returned.
    pub limit: usize,
}

/// Answer to a read or a scan: the rows that exist, as of one moment.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// The rows.
    pub rows: Vec<TableRow>,
}

/// Condition of a write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: CompactString,
    /// Version that the row must have; none if it must be absent.
    pub version: Option<u64>,
}

/// A row to write.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowPut {
    /// Key of the row.
    pub key: CompactString,
    /// New content.
    pub value: Value,
}

/// Request of `POST /v1/table/write`. All of it takes effect or nothing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WriteRequest {
    /// Identifier stored with each row written.
    pub operation: OperationId,
    /// Conditions that must hold.
    pub conditions: Vec<RowCondition>,
    /// Rows to write.
    pub puts: Vec<RowPut>,
    /// Keys of rows to delete.
    pub deletes: Vec<CompactString>,
}

/// Answer to a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum WriteReply {
    /// The write took effect.
    Committed,
    /// A condition does not hold and nothing was written.
    Conflict {
        /// Key of the row whose condition does not hold.
        key: CompactString,
        /// Version that the row has; none if it is absent.
        version: Option<u64>,
    },
}
