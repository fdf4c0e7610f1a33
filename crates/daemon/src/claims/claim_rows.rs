use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use rand::RngExt;
use sesamedeal_core::claims::{ClaimRecord, ClaimWrite, WriteOutcome};
use sesamedeal_core::ids::{OperationId, TeamName};
use sesamedeal_store::protocol::WriteReply;
use sesamedeal_store::{
    PlatformClient, PlatformError, PutCondition, Result, TypedRow, WithdrawOutcome, backoff_delay,
};
use tokio::time::sleep;

/// Attempts to write a large response to the object store before it is given up.
const OBJECT_ATTEMPTS: u32 = 20;

/// The claim's row in the table service and its object in the object store.
#[derive(Debug, Clone)]
pub(super) struct ClaimRows {
    pub client: PlatformClient,
    pub key: CompactString,
    pub operation: OperationId,
}

impl ClaimRows {
    pub(super) async fn read(&self) -> Result<Option<TypedRow<ClaimRecord>>> {
        self.client.read_row(&self.key).await
    }

    pub(super) async fn insert(&self, record: &ClaimRecord) -> Result<WriteReply> {
        self.client
            .put_row(&self.key, record, PutCondition::Absent, self.operation)
            .await
    }

    /// Performs a write on the condition that the row still holds this claim.
    pub(super) async fn perform(&self, write: &ClaimWrite) -> WriteOutcome {
        let row = match self.read().await {
            Ok(Some(row)) if row.value.operation == self.operation => row,
            Ok(_) => return WriteOutcome::Refused,
            Err(_) => return WriteOutcome::Lost,
        };
        let operation = OperationId(rand::rng().random());
        let condition = PutCondition::Version(row.version);
        let reply = match write {
            ClaimWrite::Insert(record) | ClaimWrite::Replace(record) => {
                self.client
                    .put_row(&self.key, record, condition, operation)
                    .await
            }
            ClaimWrite::Delete => {
                self.client
                    .delete_row(&self.key, condition, operation)
                    .await
            }
        };
        match reply {
            Ok(WriteReply::Committed) => WriteOutcome::Done,
            Ok(WriteReply::Conflict { .. }) => WriteOutcome::Refused,
            Err(_) => WriteOutcome::Lost,
        }
    }

    /// Repeats a write until its outcome is known.
    pub(super) async fn perform_until_known(&self, write: &ClaimWrite) {
        let mut retry = 0;
        while self.perform(write).await == WriteOutcome::Lost {
            pause(&mut retry).await;
        }
    }

    /// Makes sure that an insert whose response was lost does not leave a claim behind.
    pub(super) async fn withdraw_insert(&self) {
        let mut retry = 0;
        loop {
            match self.client.withdraw(self.operation).await {
                Ok(WithdrawOutcome::NeverTakesEffect) => return,
                Ok(WithdrawOutcome::TookEffect) => break,
                Err(_) => pause(&mut retry).await,
            }
        }
        self.perform_until_known(&ClaimWrite::Delete).await;
    }

    /// Key of the object that holds a large response.
    pub(super) fn object_key(&self) -> CompactString {
        response_key(self.operation)
    }

    /// Writes a large response.
    pub(super) async fn put_response(&self, body: Bytes) -> Result<()> {
        let mut retry = 0;
        loop {
            let key = self.object_key();
            match self.client.put_object(&key, body.clone()).await {
                Err(PlatformError::NoAnswer { .. } | PlatformError::Unreachable { .. })
                    if retry < OBJECT_ATTEMPTS =>
                {
                    pause(&mut retry).await;
                }
                result => return result,
            }
        }
    }
}

/// Key of the object that holds the large response to the request of a claim.
pub(crate) fn response_key(claim: OperationId) -> CompactString {
    format_compact!("response/{claim}")
}

/// Key of the row that claims a request.
pub(super) fn claim_key(team: &TeamName, idempotency_key: &str) -> CompactString {
    format_compact!("claim/{team}/{idempotency_key}")
}

async fn pause(retry: &mut u32) {
    let delay = backoff_delay(*retry, rand::rng().random());
    *retry += 1;
    sleep(delay).await;
}
