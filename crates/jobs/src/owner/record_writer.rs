use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use sesamedeal_core::jobs::{JobId, RecordBatch, WriteLimit};
use sesamedeal_core::time::TimePoint;

use super::owner_lease::OwnerLease;
use super::partition_check::PartitionCheck;
use crate::ports::{RowChange, RowCondition, RowName, RowPartition, RowPut, StoreRow, StoreTable};
use crate::row_codec::{
    EPOCH_KEY, HEARTBEAT_KEY, HeartbeatRow, SEQUENCE_KEY, cancel_key, encode, job_key, record_key,
};

/// Maximum number of job records in one write. With two conditions, the heartbeat, the sequence
/// row, two rows for each expired record and some wave rows, a write stays below the limit of 100
/// entries of the store.
pub(crate) const ROWS_PER_WRITE: usize = 72;

/// Maximum size of the records in one write, in bytes, unless a single one is larger. With a heartbeat
/// and other rows of 64 KiB, a write stays below the limit of 1 MB of the store, as the store's
/// encoding adds a third.
const BYTES_PER_WRITE: usize = 550_000;

/// Maximum number of expired records removed in one write.
pub(crate) const EXPIRED_PER_WRITE: usize = 8;

/// Time without an answer after which a write counts as late. A write usually takes about 10 ms.
const MIN_LATE_TIME: Duration = Duration::from_millis(200);

/// The same while a partition is unreachable, since more may follow.
const MIN_LATE_TIME_IN_OUTAGE: Duration = Duration::from_millis(100);

/// Multiple of the time of the last answered write after which a write counts as late. A slow store
/// takes 60 times as long.
const LATE_FACTOR: u32 = 3;

/// Write that has not been answered.
#[derive(Debug)]
struct InFlightWrite {
    batch: RecordBatch,
    /// Queued rows that are part of the write.
    rows: Vec<RowPut>,
    /// Partitions that the write spans.
    partitions: BTreeSet<RowPartition>,
    /// Whether it has been noted as late.
    is_late: bool,
}

/// State of the owner's writes, of which at most one is in flight.
///
/// Each write replaces the sequence row on condition of its version. An unanswered write that is
/// performed late then fails, because the next one has replaced the row. For the same reason a write
/// can be given up before its time-out, once it is known to span a partition that does not answer.
#[derive(Debug)]
pub(crate) struct RecordWriter {
    lease: OwnerLease,
    sequence: u64,
    /// Number of the last write.
    number: u64,
    in_flight: Option<InFlightWrite>,
    /// Time that the last answered write took.
    response_time: Duration,
    /// When the last write was sent.
    pub sent: TimePoint,
    /// When the last heartbeat was sent.
    pub heartbeat_sent: TimePoint,
    renewals: u64,
    /// Whether a write has taken effect. The first one contains a heartbeat.
    has_committed: bool,
    /// Rows to add to the next write.
    queued_rows: Vec<RowPut>,
    /// Reachability of the partitions that store the records.
    pub partitions: PartitionCheck,
}

impl RecordWriter {
    /// `sequence` is the version of the sequence row; 0 if there is none.
    pub(crate) fn new(lease: OwnerLease, sequence: u64, now: TimePoint) -> Self {
        Self {
            lease,
            sequence,
            number: 0,
            in_flight: None,
            response_time: Duration::ZERO,
            sent: now,
            heartbeat_sent: TimePoint::ORIGIN,
            renewals: 0,
            has_committed: false,
            queued_rows: Vec::new(),
            partitions: PartitionCheck::default(),
        }
    }

    /// Adds a row to the next write, replacing an earlier value of the row.
    pub(crate) fn queue_row(&mut self, entry: RowPut) {
        self.queued_rows.retain(|other| other.row != entry.row);
        self.queued_rows.push(entry);
    }

    /// Whether rows are queued for the next write.
    pub(crate) const fn has_queued_rows(&self) -> bool {
        !self.queued_rows.is_empty()
    }

    /// Room for records in the next write, beside the queued rows.
    pub(crate) fn record_limit(&self) -> WriteLimit {
        let queued = self.queued_rows.iter().map(|entry| entry.value.len());
        WriteLimit {
            rows: ROWS_PER_WRITE,
            bytes: BYTES_PER_WRITE.saturating_sub(queued.sum()),
        }
    }

    /// Whether a write has not been answered yet.
    pub(crate) const fn is_writing(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Ends write `number` and returns its batch and its queued rows, or `None` if it was given up
    /// before.
    pub(crate) fn end_write(&mut self, number: u64) -> Option<(RecordBatch, Vec<RowPut>)> {
        if number != self.number {
            return None;
        }
        let write = self.in_flight.take()?;
        Some((write.batch, write.rows))
    }

    /// Gives up the write in flight if it spans a partition that does not answer, and returns its
    /// batch and its queued rows.
    pub(crate) fn abandon_write(&mut self) -> Option<(RecordBatch, Vec<RowPut>)> {
        let write = self
            .in_flight
            .take_if(|write| self.partitions.is_any_unreachable(&write.partitions))?;
        Some((write.batch, write.rows))
    }

    /// Requests a check of the partitions if the write in flight has become late.
    pub(crate) fn note_lateness(&mut self, now: TimePoint) {
        let minimum = if self.partitions.has_unreachable() {
            MIN_LATE_TIME_IN_OUTAGE
        } else {
            MIN_LATE_TIME
        };
        let limit = minimum.max(self.response_time * LATE_FACTOR);
        let Some(write) = &mut self.in_flight else {
            return;
        };
        if !write.is_late && now.since(self.sent) >= limit {
            write.is_late = true;
            self.partitions.request();
        }
    }

    /// Queues the rows of a failed write again, unless newer values are queued.
    pub(crate) fn requeue_rows(&mut self, rows: Vec<RowPut>) {
        for entry in rows {
            if !self.queued_rows.iter().any(|other| other.row == entry.row) {
                self.queued_rows.push(entry);
            }
        }
    }

    /// Builds the write of a batch, with a heartbeat if one is due. The next owner removes the
    /// expired records that a failed write leaves behind.
    pub(crate) fn build_change(
        &mut self,
        batch: RecordBatch,
        expired: &[JobId],
        heartbeat: Option<HeartbeatRow>,
        now: TimePoint,
    ) -> (u64, RowChange) {
        let mut change = RowChange {
            conditions: vec![
                condition(StoreTable::Owner, EPOCH_KEY, self.lease.version),
                condition(StoreTable::Writer, SEQUENCE_KEY, self.sequence),
            ],
            puts: vec![put(
                RowName::new(StoreTable::Writer, SEQUENCE_KEY),
                encode(&self.lease.epoch),
            )],
            deletes: Vec::new(),
        };
        if let Some(mut heartbeat) = heartbeat {
            self.renewals += 1;
            heartbeat.renewals = self.renewals;
            let row = RowName::new(StoreTable::Owner, HEARTBEAT_KEY);
            change.puts.push(put(row, encode(&heartbeat)));
        }
        for (id, record) in &batch.records {
            let rows = record.rows();
            let used = rows.len();
            for (number, row) in rows.iter().enumerate() {
                let name = RowName::new(StoreTable::State, record_key(*id, number));
                change.puts.push(put(name, encode(row)));
            }
            if record.phase.is_final() {
                for number in used..record.stored_rows {
                    let name = RowName::new(StoreTable::State, record_key(*id, number));
                    change.deletes.push(name);
                }
                change
                    .deletes
                    .push(RowName::new(StoreTable::Job, job_key(*id)));
                change
                    .deletes
                    .push(RowName::new(StoreTable::Job, cancel_key(*id)));
            }
        }
        for id in expired {
            // A cancel request may have been stored after the job ended.
            change
                .deletes
                .push(RowName::new(StoreTable::Job, cancel_key(*id)));
            change
                .deletes
                .push(RowName::new(StoreTable::State, job_key(*id)));
        }
        let rows = std::mem::take(&mut self.queued_rows);
        change.puts.extend(rows.iter().cloned());
        let written = change.puts.iter().map(|put| &put.row);
        let written = written.chain(&change.deletes);
        self.number += 1;
        self.sent = now;
        self.in_flight = Some(InFlightWrite {
            batch,
            rows,
            partitions: written.map(|row| row.partition).collect(),
            is_late: false,
        });
        (self.number, change)
    }

    /// Records that a write sent at `sent` has taken effect.
    pub(crate) fn commit(&mut self, version: u64, sent: TimePoint, now: TimePoint) {
        self.response_time = now.since(sent);
        self.sequence = version;
        self.has_committed = true;
        self.lease.renew(sent);
    }

    /// Whether a heartbeat under the current epoch is stored.
    pub(crate) const fn has_committed(&self) -> bool {
        self.has_committed
    }

    /// Updates the sequence from the rows of a conflict. Returns false if another entry instance
    /// owns the pools.
    pub(crate) fn resolve_conflict(&mut self, rows: &[(StoreTable, StoreRow)]) -> bool {
        let version = |table: StoreTable, key: &str| {
            let mut rows = rows.iter();
            let row = rows.find(|(name, row)| *name == table && row.key == key);
            row.map_or(0, |(_, row)| row.version)
        };
        self.sequence = version(StoreTable::Writer, SEQUENCE_KEY);
        version(StoreTable::Owner, EPOCH_KEY) == self.lease.version
    }
}

pub(crate) fn condition(table: StoreTable, key: &str, version: u64) -> RowCondition {
    RowCondition {
        row: RowName::new(table, key),
        version,
    }
}

pub(crate) const fn put(row: RowName, value: Bytes) -> RowPut {
    RowPut { row, value }
}
