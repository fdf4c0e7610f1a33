use compact_str::CompactString;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use sesamedeal_core::fleet::{ChangeRecord, FleetChange};
use sesamedeal_core::ids::{Generation, OperationId};
use snafu::ResultExt;

use crate::error::{ContentSnafu, Result};
use crate::protocol::{RowCondition, RowPut, TableRow, WriteReply, WriteRequest};
use crate::rows::{CHANGE_PREFIX, HEAD, HeadRecord, SETTLED, SettledRecord, change_key};
use crate::{PlatformClient, PlatformError};

/// Most records that one scan returns.
const SCAN_LIMIT: usize = 256;

/// Outcome of an append to the change log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the log.
    Accepted(Generation),
    /// The log has moved on from the expected generation.
    Conflict,
}

/// The change log in the table service.
#[derive(Debug, Clone)]
pub struct ChangeLog {
    client: PlatformClient,
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

    /// Appends a record after `expected`.
    ///
    /// # Errors
    ///
    /// Fails when the outcome cannot be found out.
    pub async fn append(
        &self,
        expected: Generation,
        operation: OperationId,
        author: &str,
        changes: Vec<FleetChange>,
    ) -> Result<AppendOutcome> {
        let rows = self.client.read(&[HEAD]).await?;
        let head: HeadRecord = row_value(&rows, HEAD)?;
        if head.generation != expected {
            return Ok(AppendOutcome::Conflict);
        }
        let record = ChangeRecord {
            generation: expected.next(),
            operation,
            author: author.into(),
            changes,
        };
        let key = change_key(record.generation);
        let next = HeadRecord {
            generation: record.generation,
            ..head
        };
        let request = WriteRequest {
            operation,
            conditions: vec![
                RowCondition {
                    key: HEAD.into(),
                    version: rows.first().map(|row| row.version),
                },
                RowCondition {
                    key: key.clone(),
                    version: None,
                },
            ],
            puts: vec![put(HEAD, &next)?, put(&key, &record)?],
            deletes: Vec::new(),
        };
        match self.client.write(&request).await {
            Ok(WriteReply::Committed) => Ok(AppendOutcome::Accepted(record.generation)),
            Ok(WriteReply::Conflict { .. }) => Ok(AppendOutcome::Conflict),
            Err(PlatformError::NoAnswer { .. }) => self.recognise(&key, operation, record).await,
            Err(error) => Err(error),
        }
    }

    /// Finds out whether a write without an answer took effect.
    async fn recognise(
        &self,
        key: &CompactString,
        operation: OperationId,
        record: ChangeRecord,
    ) -> Result<AppendOutcome> {
        let rows = self.client.read(&[key]).await?;
        match rows.first() {
            Some(row) if row.operation == operation => {
                Ok(AppendOutcome::Accepted(record.generation))
            }
            _ => Ok(AppendOutcome::Conflict),
        }
    }
}

fn put<T: Serialize>(key: &str, value: &T) -> Result<RowPut> {
    Ok(RowPut {
        key: key.into(),
        value: serde_json::to_value(value).context(ContentSnafu { what: key })?,
    })
}

fn row_value<T: DeserializeOwned + Default>(rows: &[TableRow], key: &str) -> Result<T> {
    match rows.iter().find(|row| row.key == key) {
        Some(row) => parse(key, row.value.clone()),
        None => Ok(T::default()),
    }
}

fn parse<T: DeserializeOwned>(key: &str, value: Value) -> Result<T> {
    serde_json::from_value(value).context(ContentSnafu { what: key })
}
