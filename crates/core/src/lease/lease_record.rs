use serde::{Deserialize, Serialize};

use crate::ids::SessionId;

/// Row `lease/controller` of the table service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Session that holds the lease.
    pub holder: SessionId,
    /// Number of changes of the holder.
    pub epoch: u64,
    /// Number of renewals in this epoch.
    pub renewals: u64,
}
