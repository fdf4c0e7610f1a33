use serde::{Deserialize, Serialize};
use sesamedeal_core::fleet::ChangeRecord;

/// Answer to `GET /admin/history`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HistoryReply {
    /// The newest records of the change log, the newest last.
    pub records: Vec<ChangeRecord>,
}
