use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use compact_str::CompactString;
use parking_lot::Mutex;
use serde_json::to_value;
use sesamedeal_core::ids::OperationId;
use snafu::ResultExt;
use tokio::time::Instant;

use crate::error::{ContentSnafu, NoAnswerSnafu, PlatformError, Result};
use crate::platform_client::{decode, post};
use crate::protocol::{ReadReply, ReadRequest, RowCondition, RowPut, WriteReply, WriteRequest};
use crate::rows::{OperationMark, OperationRecord, operation_key};
use crate::service_caller::{AttemptFailure, ServiceCaller};
use crate::{CallKind, RetryReason};

/// Most operation rows that one write removes.
const REMOVALS_PER_WRITE: usize = 8;
/// Most operations remembered for removal or as unresolved.
const MAX_REMEMBERED: usize = 4096;

const WRITE_PATH: &str = "/v1/table/write";

/// What became of a write that was withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WithdrawOutcome {
    /// The write had taken effect.
    TookEffect,
    /// The write has not taken effect and never will.
    NeverTakesEffect,
}

/// Writes whose outcome the client finds out even when answers are lost or copies are delayed.
///
/// Each write also inserts the row `operation/<id>`, on condition that it is absent. The row
/// therefore exists exactly when the write has taken effect, whoever has since overwritten the
/// other rows. Inserting the row with the mark `withdrawn` keeps every delayed copy from taking
/// effect. The row of a write that got its answer at the first attempt is removed with a later
/// write; the others are removed by the change log's cleanup.
#[derive(Debug)]
pub(crate) struct TableWriter {
    caller: Arc<ServiceCaller>,
    /// Operation rows that no copy of a request can need any more.
    removable: Mutex<VecDeque<CompactString>>,
    /// Operations of which copies may still be under way.
    unresolved: Mutex<VecDeque<OperationId>>,
}

impl TableWriter {
    pub(crate) fn new(caller: Arc<ServiceCaller>) -> Self {
        Self {
            caller,
            removable: Mutex::default(),
            unresolved: Mutex::default(),
        }
    }

    pub(crate) async fn write(
        &self,
        request: &WriteRequest,
        deadline: Instant,
    ) -> Result<WriteReply> {
        self.caller.begin();
        let operation = request.operation;
        let marker = operation_key(operation);
        let removed = self.take_removable();
        let marked = with_marker(request, OperationMark::Written, &removed)?;
        // A caller that drops this call leaves the operation unresolved.
        let mut copies = self.unresolved.lock().contains(&operation);
        self.remember(operation);
        let result = self.send_until_known(&marked, &mut copies, deadline).await;
        if !matches!(result, Ok(WriteReply::Committed)) {
            self.removable.lock().extend(removed);
        }
        match result {
            Ok(WriteReply::Conflict { key, .. }) if key == marker => {
                self.known(self.recognise(operation, deadline).await)
            }
            Ok(conflict @ WriteReply::Conflict { .. }) if copies => {
                let outcome = self.known(self.withdraw(operation, deadline).await)?;
                Ok(match outcome {
                    WithdrawOutcome::TookEffect => WriteReply::Committed,
                    WithdrawOutcome::NeverTakesEffect => conflict,
                })
            }
            Ok(reply) => {
                if !copies && reply == WriteReply::Committed {
                    self.removable.lock().push_back(marker);
                }
                self.forget(operation);
                Ok(reply)
            }
            Err(error) if copies => self.known(Err(error)),
            Err(error) => {
                self.forget(operation);
                Err(error)
            }
        }
    }

    /// Turns a failure after which copies of the write may be under way into `NoAnswer`.
    fn known<T>(&self, result: Result<T>) -> Result<T> {
        result.map_err(|error| {
            self.caller.count(|counters| counters.unknown_writes += 1);
            PlatformError::NoAnswer {
                reason: format!("the outcome of the write is unknown: {error}"),
            }
        })
    }

    pub(crate) async fn withdraw(
        &self,
        operation: OperationId,
        deadline: Instant,
    ) -> Result<WithdrawOutcome> {
        let request = WriteRequest {
            operation,
            conditions: Vec::new(),
            puts: Vec::new(),
            deletes: Vec::new(),
        };
        let marked = with_marker(&request, OperationMark::Withdrawn, &[])?;
        match self.send_until_known(&marked, &mut false, deadline).await? {
            WriteReply::Committed => {
                self.forget(operation);
                Ok(WithdrawOutcome::NeverTakesEffect)
            }
            WriteReply::Conflict { .. } => match self.recognise(operation, deadline).await? {
                WriteReply::Committed => Ok(WithdrawOutcome::TookEffect),
                WriteReply::Conflict { .. } => Ok(WithdrawOutcome::NeverTakesEffect),
            },
        }
    }

    /// Sends the same write until an answer comes. `copies` is set once a copy may be under way.
    async fn send_until_known(
        &self,
        request: &WriteRequest,
        copies: &mut bool,
        deadline: Instant,
    ) -> Result<WriteReply> {
        let call = post(WRITE_PATH, request)?;
        let mut retry = 0;
        loop {
            let kind = CallKind::Write;
            let attempt = self.caller.attempt(kind, call.clone(), deadline).await;
            let failure = match attempt.map(|reply| decode::<WriteReply>(WRITE_PATH, &reply)) {
                Ok(Ok(reply)) => return Ok(reply),
                Ok(Err(error @ PlatformError::Status { .. })) => return Err(error),
                Ok(Err(error)) => AttemptFailure {
                    error,
                    reason: Some(RetryReason::NoAnswer),
                },
                Err(failure) => failure,
            };
            *copies |= failure.reason == Some(RetryReason::NoAnswer);
            if !self.caller.pause(failure.reason, retry, deadline).await {
                return Err(failure.error);
            }
            retry += 1;
        }
    }

    /// Reads the operation's row back, which exists, and tells its marks apart.
    async fn recognise(&self, operation: OperationId, deadline: Instant) -> Result<WriteReply> {
        let key = operation_key(operation);
        let path = "/v1/table/read";
        let keys = vec![key.clone()];
        let call = post(path, &ReadRequest { keys })?;
        let reply = self.caller.call(CallKind::Read, call, deadline).await?;
        let reply = decode::<ReadReply>(path, &reply)?;
        let Some(row) = reply.rows.into_iter().next() else {
            return NoAnswerSnafu {
                reason: "the operation's row was removed",
            }
            .fail();
        };
        let record: OperationRecord =
            serde_json::from_value(row.value).context(ContentSnafu { what: key.clone() })?;
        self.forget(operation);
        Ok(match record.mark {
            OperationMark::Written => WriteReply::Committed,
            OperationMark::Withdrawn => WriteReply::Conflict {
                key,
                version: Some(row.version),
            },
        })
    }

    fn take_removable(&self) -> Vec<CompactString> {
        let mut removable = self.removable.lock();
        let excess = removable.len().saturating_sub(MAX_REMEMBERED);
        removable.drain(..excess);
        let count = removable.len().min(REMOVALS_PER_WRITE);
        removable.drain(..count).collect()
    }

    fn remember(&self, operation: OperationId) {
        let mut unresolved = self.unresolved.lock();
        if !unresolved.contains(&operation) {
            unresolved.push_back(operation);
        }
        if unresolved.len() > MAX_REMEMBERED {
            unresolved.pop_front();
        }
    }

    fn forget(&self, operation: OperationId) {
        self.unresolved.lock().retain(|other| *other != operation);
    }
}

/// The marker's condition comes first, so that a conflict on another row shows that the marker is
/// absent.
fn with_marker(
    request: &WriteRequest,
    mark: OperationMark,
    removed: &[CompactString],
) -> Result<WriteRequest> {
    let key = operation_key(request.operation);
    let at = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = at.map_or(0, |since| since.as_millis() as u64);
    let value = to_value(OperationRecord { mark, at_ms });
    let value = value.context(ContentSnafu { what: key.clone() })?;
    let mut marked = request.clone();
    let condition = RowCondition {
        key: key.clone(),
        version: None,
    };
    marked.conditions.insert(0, condition);
    marked.puts.push(RowPut { key, value });
    marked.deletes.extend_from_slice(removed);
    Ok(marked)
}
