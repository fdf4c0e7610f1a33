use std::time::Duration;

use compact_str::CompactString;
use sesamedeal_core::ids::{Generation, OperationId};

use crate::ChangeLog;
use crate::error::Result;
use crate::protocol::{RowCondition, WriteReply, WriteRequest};
use crate::rows::{
    CHANGE_PREFIX, OPERATION_PREFIX, OperationRecord, SNAPSHOT_PREFIX, change_key, snapshot_key,
};

/// Records kept below the newest snapshot, and most records read instead of a snapshot.
pub const KEPT_RECORDS: u64 = 512;
/// Snapshots kept.
pub const KEPT_SNAPSHOTS: usize = 2;
/// Age from which operation rows are removed. Delayed copies of a write do not live that long.
const OPERATION_AGE: Duration = Duration::from_secs(24 * 3600);
/// Most rows read or removed in one step.
const CLEANUP_LIMIT: usize = 256;

/// What one cleanup removed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CleanupReport {
    /// Change rows.
    pub records: usize,
    /// Snapshots.
    pub snapshots: usize,
    /// Rows that record the outcome of writes.
    pub operations: usize,
}

impl ChangeLog {
    /// Removes change rows more than 512 generations below the newest snapshot, all but the two
    /// newest snapshots, and operation rows older than 24 hours: at most 256 rows of each kind.
    ///
    /// Rows are removed only if `conditions` hold. `now_ms` is the Unix time in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails when a service does not answer; what was removed until then stays removed.
    pub async fn cleanup(
        &self,
        now_ms: u64,
        operation: impl Fn() -> OperationId,
        conditions: &[RowCondition],
    ) -> Result<CleanupReport> {
        let (head, _) = self.head().await?;
        let oldest = head.snapshot.0.saturating_sub(KEPT_RECORDS);
        let first_kept = change_key(Generation(oldest));
        let rows = self.client.scan(CHANGE_PREFIX, None, CLEANUP_LIMIT).await?;
        let keys = rows.into_iter().map(|row| row.key);
        let records: Vec<CompactString> = keys.filter(|key| *key < first_kept).collect();
        let operations = self.expired_operations(now_ms).await?;
        let mut report = CleanupReport::default();
        if self.remove(&records, operation(), conditions).await? {
            report.records = records.len();
        }
        if self.remove(&operations, operation(), conditions).await? {
            report.operations = operations.len();
        }
        report.snapshots = self.remove_snapshots(head.snapshot).await?;
        Ok(report)
    }

    async fn expired_operations(&self, now_ms: u64) -> Result<Vec<CompactString>> {
        let newest_removed = now_ms.saturating_sub(OPERATION_AGE.as_millis() as u64);
        let mut expired = Vec::new();
        let mut after: Option<CompactString> = None;
        while expired.len() < CLEANUP_LIMIT {
            let page = self.client.scan_rows::<OperationRecord>(
                OPERATION_PREFIX,
                after.as_deref(),
                CLEANUP_LIMIT,
            );
            let page = page.await?;
            let Some((last, _)) = page.last() else {
                break;
            };
            after = Some(last.clone());
            let old = page
                .into_iter()
                .filter(|(_, row)| row.value.at_ms < newest_removed);
            expired.extend(old.map(|(key, _)| key));
        }
        expired.truncate(CLEANUP_LIMIT);
        Ok(expired)
    }

    async fn remove(
        &self,
        keys: &[CompactString],
        operation: OperationId,
        conditions: &[RowCondition],
    ) -> Result<bool> {
        if keys.is_empty() {
            return Ok(false);
        }
        let request = WriteRequest {
            operation,
            conditions: conditions.to_vec(),
            puts: Vec::new(),
            deletes: keys.to_vec(),
        };
        Ok(self.client.write(&request).await? == WriteReply::Committed)
    }

    /// Removes snapshots older than the second newest that the head row has recorded.
    ///
    /// A newer object may belong to a writer that has not recorded it yet, so it stays.
    async fn remove_snapshots(&self, recorded: Generation) -> Result<usize> {
        let newest = snapshot_key(recorded);
        let mut keys = self.client.list_objects(SNAPSHOT_PREFIX).await?;
        keys.retain(|key| *key <= newest);
        let removed = keys.len().saturating_sub(KEPT_SNAPSHOTS);
        for key in &keys[..removed] {
            self.client.delete_object(key).await?;
        }
        Ok(removed)
    }
}
