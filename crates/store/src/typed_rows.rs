use compact_str::CompactString;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use sesamedeal_core::ids::OperationId;
use snafu::ResultExt;

use crate::PlatformClient;
use crate::error::{ContentSnafu, Result};
use crate::protocol::{RowCondition, RowPut, TableRow, WriteReply, WriteRequest};

/// A row with its content decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TypedRow<T> {
    /// Version of the row, for the condition of a later write.
    pub version: u64,
    /// Operation that wrote the row last.
    pub operation: OperationId,
    /// Content.
    pub value: T,
}

/// State that a row must have for a write to take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutCondition {
    /// Any state. A delayed write can then replace a newer one, so rows that change need a version.
    Any,
    /// The row must be absent.
    Absent,
    /// The row must have this version.
    Version(u64),
}

impl PutCondition {
    /// The condition of the table service on `key`.
    #[must_use]
    pub fn on(self, key: &str) -> Option<RowCondition> {
        let version = match self {
            Self::Any => return None,
            Self::Absent => None,
            Self::Version(version) => Some(version),
        };
        let key = CompactString::from(key);
        Some(RowCondition { key, version })
    }
}

impl PlatformClient {
    /// Reads and decodes one row; none if it does not exist.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer or the row is of another form.
    pub async fn read_row<T: DeserializeOwned>(&self, key: &str) -> Result<Option<TypedRow<T>>> {
        let row = self.read(&[key]).await?.into_iter().next();
        row.map(typed).transpose()
    }

    /// Reads and decodes the rows of a prefix after `after`, in order, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// Fails when the service does not answer or a row is of another form.
    pub async fn scan_rows<T: DeserializeOwned>(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<Vec<(CompactString, TypedRow<T>)>> {
        let rows = self.scan(prefix, after, limit).await?;
        rows.into_iter()
            .map(|row| Ok((row.key.clone(), typed(row)?)))
            .collect()
    }

    /// Writes one row if it has the expected state.
    ///
    /// # Errors
    ///
    /// See [`Self::write`].
    pub async fn put_row<T: Serialize + Sync>(
        &self,
        key: &str,
        value: &T,
        condition: PutCondition,
        operation: OperationId,
    ) -> Result<WriteReply> {
        let request = WriteRequest {
            operation,
            conditions: condition.on(key).into_iter().collect(),
            puts: vec![row_put(key, value)?],
            deletes: Vec::new(),
        };
        self.write(&request).await
    }

    /// Removes one row if it has the expected state.
    ///
    /// # Errors
    ///
    /// See [`Self::write`].
    pub async fn delete_row(
        &self,
        key: &str,
        condition: PutCondition,
        operation: OperationId,
    ) -> Result<WriteReply> {
        let request = WriteRequest {
            operation,
            conditions: condition.on(key).into_iter().collect(),
            puts: Vec::new(),
            deletes: vec![key.into()],
        };
        self.write(&request).await
    }
}

/// Encodes a row of a write.
///
/// # Errors
///
/// Fails when the value cannot be represented in JSON.
pub fn row_put<T: Serialize>(key: &str, value: &T) -> Result<RowPut> {
    let value = serde_json::to_value(value).context(ContentSnafu { what: key })?;
    let key = CompactString::from(key);
    Ok(RowPut { key, value })
}

pub(crate) fn typed<T: DeserializeOwned>(row: TableRow) -> Result<TypedRow<T>> {
    Ok(TypedRow {
        version: row.version,
        operation: row.operation,
        value: parse(&row.key, row.value)?,
    })
}

pub(crate) fn parse<T: DeserializeOwned>(key: &str, value: Value) -> Result<T> {
    serde_json::from_value(value).context(ContentSnafu { what: key })
}
