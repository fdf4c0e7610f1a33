use std::collections::BTreeMap;
use std::ops::Bound;

use compact_str::CompactString;
use sesamedeal_store::protocol::{
    ReadReply, ReadRequest, ScanRequest, TableRow, WriteReply, WriteRequest,
};

/// Rows of the table service.
#[derive(Debug, Default)]
pub(crate) struct TableState {
    rows: BTreeMap<CompactString, TableRow>,
    last_version: u64,
}

impl TableState {
    pub(crate) fn read(&self, request: &ReadRequest) -> ReadReply {
        let rows = request
            .keys
            .iter()
            .filter_map(|key| self.rows.get(key).cloned())
            .collect();
        ReadReply { rows }
    }

    pub(crate) fn scan(&self, request: &ScanRequest) -> ReadReply {
        let start = match &request.after {
            Some(after) if *after >= request.prefix => Bound::Excluded(after.clone()),
            _ => Bound::Included(request.prefix.clone()),
        };
        let rows = self
            .rows
            .range((start, Bound::Unbounded))
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(request.prefix.as_str()))
            .take(request.limit)
            .cloned()
            .collect();
        ReadReply { rows }
    }

    pub(crate) fn write(&mut self, request: WriteRequest) -> WriteReply {
        for condition in &request.conditions {
            let version = self.rows.get(&condition.key).map(|row| row.version);
            if version != condition.version {
                let key = condition.key.clone();
                return WriteReply::Conflict { key, version };
            }
        }
        for key in &request.deletes {
            self.rows.remove(key);
        }
        for put in request.puts {
            self.last_version += 1;
            let row = TableRow {
                key: put.key.clone(),
                version: self.last_version,
                operation: request.operation,
                value: put.value,
            };
            self.rows.insert(put.key, row);
        }
        WriteReply::Committed
    }
}
