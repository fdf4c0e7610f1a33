use compact_str::CompactString;
use serde::de::DeserializeOwned;
use sesamedeal_core::fleet::{ChangeRecord, FleetChange};
use sesamedeal_core::ids::{Generation, OperationId};

use crate::error::{LogGapSnafu, Result};
use crate::protocol::{RowCondition, TableRow, WriteReply, WriteRequest};
use crate::rows::{CHANGE_PREFIX, HEAD, HeadRecord, SETTLED, SettledRecord, change_key};
use crate::typed_rows::parse;
use crate::{PlatformClient, PlatformError, row_put};

/// Most records that one scan returns.
const SCAN_LIMIT: usize = 256;
/// Most writes of one append when snapshots write the head row at the same time.
const APPEND_ATTEMPTS: usize = 3;

/// Outcome of an append to the change log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log.
    Accepted(Generation),
    /// The record is not in the log and will not be: the log has moved on from the expected
    /// generation, or another condition does not hold.
    Conflict,
}

/// The change log in the table service.
#[derive(Debug, Clone)]
pub struct ChangeLog {
    pub(crate) client: PlatformClient,
}

impl ChangeLog {
    /// Creates the log on a platform client.
    #[must_use]
    pub const fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    /// Reads the head of the log and the highest settled generation.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer or a row has an unexpected form.
    pub async fn head(&self) -> Result<(HeadRecord, SettledRecord)> {
        let rows = self.client.read(&[HEAD, SETTLED]).await?;
        Ok((row_value(&rows, HEAD)?, row_value(&rows, SETTLED)?))
    }

    /// Reads records after `generation`, in order, at most 256 of them.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer or a row has an unexpected form.
    pub async fn records_after(&self, generation: Generation) -> Result<Vec<ChangeRecord>> {
        let after = change_key(generation);
        let rows = self
            .client
            .scan(CHANGE_PREFIX, Some(&after), SCAN_LIMIT)
            .await?;
        rows.into_iter()
            .map(|row| parse(&row.key, row.value))
            .collect()
    }

    /// Reads all records after `generation`, page by page, and checks that none is missing.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer, or with [`PlatformError::LogGap`] when a record has
    /// been removed.
    pub async fn all_records_after(&self, generation: Generation) -> Result<Vec<ChangeRecord>> {
        let mut records: Vec<ChangeRecord> = Vec::new();
        let mut last = generation;
        loop {
            let page = self.records_after(last).await?;
            let is_last = page.len() < SCAN_LIMIT;
            for record in page {
                if record.generation != last.next() {
                    return Err(PlatformError::LogGap { generation: last.0 });
                }
                last = record.generation;
                records.push(record);
            }
            if is_last {
                return Ok(records);
            }
        }
    }

    /// Appends a record after `expected`.
    ///
    /// # Errors
    ///
    /// See [`Self::append_with`].
    pub async fn append(
        &self,
        expected: Generation,
        operation: OperationId,
        author: &str,
        changes: Vec<FleetChange>,
    ) -> Result<AppendOutcome> {
        self.append_with(expected, operation, author, changes, &[])
            .await
    }

    /// Appends a record after `expected` if the further conditions hold, in one transaction.
    ///
    /// The controller passes the version of its lease row, so that a paused former holder cannot
    /// write.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::NoAnswer`] the record may be in the log or may still enter it; a
    /// call with the same arguments finds out. After [`PlatformError::LogGap`] it is no longer
    /// known who wrote that generation. After other errors the record is not in the log.
    pub async fn append_with(
        &self,
        expected: Generation,
        operation: OperationId,
        author: &str,
        changes: Vec<FleetChange>,
        conditions: &[RowCondition],
    ) -> Result<AppendOutcome> {
        let record = ChangeRecord {
            generation: expected.next(),
            operation,
            author: author.into(),
            changes,
        };
        for _ in 0..APPEND_ATTEMPTS {
            match self.try_append(&record, conditions).await? {
                // A snapshot also writes the head row; the generation is then still the expected.
                Some(key) if key == HEAD => {}
                Some(_) => return Ok(AppendOutcome::Conflict),
                None => return Ok(AppendOutcome::Accepted(record.generation)),
            }
        }
        Ok(AppendOutcome::Conflict)
    }

    /// Key of the row that conflicts, or none if the record is in the log.
    async fn try_append(
        &self,
        record: &ChangeRecord,
        conditions: &[RowCondition],
    ) -> Result<Option<CompactString>> {
        let key = change_key(record.generation);
        let rows = self.client.read(&[HEAD, &key]).await?;
        let head: HeadRecord = row_value(&rows, HEAD)?;
        if let Some(row) = rows.iter().find(|row| row.key == key) {
            return Ok((row.operation != record.operation).then_some(key));
        }
        if head.generation >= record.generation {
            // The record's row was removed by a cleanup, so its writer is no longer known.
            return LogGapSnafu {
                generation: record.generation.0 - 1,
            }
            .fail();
        }
        if head.generation.next() != record.generation {
            return Ok(Some(key));
        }
        let next = HeadRecord {
            generation: record.generation,
            ..head
        };
        let mut conditions = conditions.to_vec();
        conditions.push(head_condition(&rows));
        conditions.push(RowCondition {
            key: key.clone(),
            version: None,
        });
        let request = WriteRequest {
            operation: record.operation,
            conditions,
            puts: vec![row_put(HEAD, &next)?, row_put(&key, record)?],
            deletes: Vec::new(),
        };
        Ok(match self.client.write(&request).await? {
            WriteReply::Committed => None,
            WriteReply::Conflict { key, .. } => Some(key),
        })
    }
}

/// Condition that the head row is the one in `rows`.
pub(crate) fn head_condition(rows: &[TableRow]) -> RowCondition {
    let head = rows.iter().find(|row| row.key == HEAD);
    RowCondition {
        key: HEAD.into(),
        version: head.map(|row| row.version),
    }
}

pub(crate) fn row_value<T: DeserializeOwned + Default>(rows: &[TableRow], key: &str) -> Result<T> {
    match rows.iter().find(|row| row.key == key) {
        Some(row) => parse(key, row.value.clone()),
        None => Ok(T::default()),
    }
}
