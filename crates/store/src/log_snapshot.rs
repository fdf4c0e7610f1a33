use bytes::Bytes;
use sesamedeal_core::fleet::{ChangeRecord, FleetState};
use sesamedeal_core::ids::{Generation, OperationId};
use sesamedeal_wire::codec;
use snafu::ResultExt;

use crate::change_log::{head_condition, row_value};
use crate::error::{Result, SnapshotSnafu};
use crate::protocol::{RowCondition, WriteReply, WriteRequest};
use crate::rows::{HEAD, HeadRecord, snapshot_key};
use crate::{ChangeLog, KEPT_RECORDS, PlatformError, row_put};

/// Generations between two snapshots.
pub const SNAPSHOT_INTERVAL: u64 = 256;
/// Largest snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 16 * 1024 * 1024;

/// What a process lacks to reach the head of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MissingChanges {
    /// State to start from instead of the process's own, if too many records are missing.
    pub snapshot: Option<FleetState>,
    /// Records that follow the snapshot or the process's own generation, in order.
    pub records: Vec<ChangeRecord>,
}

impl ChangeLog {
    /// Reads what follows `generation` up to the head, with a snapshot when more than 512 records
    /// are missing or some were removed.
    ///
    /// # Errors
    ///
    /// Fails when a service does not answer, or no snapshot covers removed records.
    pub async fn missing_after(&self, generation: Generation) -> Result<MissingChanges> {
        let (head, _) = self.head().await?;
        let missing = head.generation.0.saturating_sub(generation.0);
        if missing <= KEPT_RECORDS || head.snapshot <= generation {
            match self.all_records_after(generation).await {
                Ok(records) => {
                    return Ok(MissingChanges {
                        snapshot: None,
                        records,
                    });
                }
                Err(PlatformError::LogGap { .. }) if head.snapshot > generation => {}
                Err(error) => return Err(error),
            }
        }
        let Some(snapshot) = self.snapshot(head.snapshot).await? else {
            let generation = generation.0;
            return Err(PlatformError::LogGap { generation });
        };
        let records = self.all_records_after(snapshot.generation).await?;
        Ok(MissingChanges {
            snapshot: Some(snapshot),
            records,
        })
    }

    /// Reads the snapshot of a generation; none if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or the snapshot cannot be decoded.
    pub async fn snapshot(&self, generation: Generation) -> Result<Option<FleetState>> {
        let key = snapshot_key(generation);
        let Some(content) = self.client.get_object(&key).await? else {
            return Ok(None);
        };
        let state = codec::decode(&content, MAX_SNAPSHOT_BYTES);
        state.context(SnapshotSnafu { key }).map(Some)
    }

    /// Writes a snapshot of `state` and records its generation in the head row.
    ///
    /// False if a newer snapshot exists, another process wrote the head row at the same time, or
    /// one of the further conditions does not hold. The caller tries again at its next step.
    ///
    /// # Errors
    ///
    /// Fails when a service does not answer or the state exceeds 16 MB.
    pub async fn write_snapshot(
        &self,
        state: &FleetState,
        operation: OperationId,
        conditions: &[RowCondition],
    ) -> Result<bool> {
        let key = snapshot_key(state.generation);
        let content = codec::encode(state, MAX_SNAPSHOT_BYTES);
        let content: Bytes = content.context(SnapshotSnafu { key: key.clone() })?;
        self.client.put_object(&key, content).await?;
        let rows = self.client.read(&[HEAD]).await?;
        let head: HeadRecord = row_value(&rows, HEAD)?;
        if head.snapshot >= state.generation || head.generation < state.generation {
            return Ok(false);
        }
        let next = HeadRecord {
            snapshot: state.generation,
            ..head
        };
        let mut conditions = conditions.to_vec();
        conditions.push(head_condition(&rows));
        let request = WriteRequest {
            operation,
            conditions,
            puts: vec![row_put(HEAD, &next)?],
            deletes: Vec::new(),
        };
        Ok(self.client.write(&request).await? == WriteReply::Committed)
    }
}
