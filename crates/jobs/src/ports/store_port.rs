use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::{AsyncCall, RowPartition};

/// Tables that the runtime uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StoreTable {
    /// Jobs that have not ended, and requests to cancel them.
    Job,
    /// Where each job stands.
    State,
    /// Ownership: the epoch and the heartbeat.
    Owner,
    /// Sequence of the owner's writes, and the progress of maintenance.
    Writer,
    /// What the operator wants: the configuration and maintenance waves. Read only.
    Intent,
    /// The platform's list of workers. Read only.
    WorkerList,
    /// Progress of maintenance waves, for the operator.
    WaveStatus,
}

/// Name of a row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RowName {
    /// Its table.
    pub table: StoreTable,
    /// Its partition, which follows from the table and the key.
    pub partition: RowPartition,
    /// Its key.
    pub key: CompactString,
}

impl RowName {
    /// Names a row.
    #[must_use]
    pub fn new(table: StoreTable, key: impl AsRef<str>) -> Self {
        Self {
            table,
            partition: RowPartition::of(table, key.as_ref()),
            key: CompactString::from(key.as_ref()),
        }
    }
}

/// A row as the store returned it.
#[derive(Debug, Clone)]
pub struct StoreRow {
    /// Its key.
    pub key: CompactString,
    /// Its value; empty if it was deleted.
    pub value: Bytes,
    /// Its version, from one counter of the whole store.
    pub version: u64,
    /// Whether it was deleted.
    pub is_deleted: bool,
}

/// Version that a row must have.
#[derive(Debug, Clone)]
pub struct RowCondition {
    /// The row.
    pub row: RowName,
    /// Its version; 0 if it must not exist.
    pub version: u64,
}

/// Value that is written to a row.
#[derive(Debug, Clone)]
pub struct RowPut {
    /// The row.
    pub row: RowName,
    /// The value.
    pub value: Bytes,
}

/// An atomic change. It may span partitions.
#[derive(Debug, Clone, Default)]
pub struct RowChange {
    /// Versions that rows must have.
    pub conditions: Vec<RowCondition>,
    /// Rows that are written.
    pub puts: Vec<RowPut>,
    /// Rows that are deleted.
    pub deletes: Vec<RowName>,
}

/// What became of a change.
#[derive(Debug, Clone)]
pub enum TransactOutcome {
    /// It has taken effect.
    Committed {
        /// Version that the written rows have.
        version: u64,
    },
    /// A condition did not hold. The present rows of the conditions follow.
    Conflict {
        /// Rows that exist.
        rows: Vec<(StoreTable, StoreRow)>,
    },
}

/// Range of keys in a partition of a table.
#[derive(Debug, Clone)]
pub struct RowRange {
    /// The table.
    pub table: StoreTable,
    /// The partition.
    pub partition: RowPartition,
    /// First key; the beginning of the partition if empty.
    pub from: CompactString,
    /// Most rows; as many as the store gives if none.
    pub limit: Option<u32>,
}

/// A version of the store, and when the store stood there.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorePosition {
    /// Version of the newest change.
    pub version: u64,
    /// Reading of the store's clock, in milliseconds; none if the store did not name one.
    pub at_ms: Option<u64>,
}

/// Rows as of one moment.
#[derive(Debug, Clone)]
pub struct RowPage {
    /// The rows in ascending order of their keys.
    pub rows: Vec<StoreRow>,
    /// Whether more rows follow.
    pub has_more: bool,
    /// Where the store stood.
    pub position: StorePosition,
}

/// Request for the changes of a table.
#[derive(Debug, Clone, Copy)]
pub struct FollowRequest {
    /// The table.
    pub table: StoreTable,
    /// Version after which changes are wanted.
    pub after: u64,
    /// Longest time that the store waits for a change.
    pub wait: Duration,
    /// Time beyond the wait after which the answer is given up.
    pub margin: Duration,
}

/// Changes of a table.
#[derive(Debug, Clone)]
pub enum FollowPage {
    /// Changed rows in order.
    Changes {
        /// The rows.
        rows: Vec<StoreRow>,
        /// Where to continue.
        position: StorePosition,
    },
    /// The store has dropped the changes; the table has to be read again.
    HistoryGone,
}

/// The transactional store.
#[derive(Clone)]
pub struct StorePort {
    /// Whether it keeps the partitions apart. Otherwise each read covers the whole table.
    pub has_partitions: bool,
    /// Makes a change.
    pub transact: AsyncCall<RowChange, TransactOutcome>,
    /// Reads rows.
    pub read: AsyncCall<RowRange, RowPage>,
    /// Waits for changes.
    pub follow: AsyncCall<FollowRequest, FollowPage>,
}

impl fmt::Debug for StorePort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StorePort").finish_non_exhaustive()
    }
}
