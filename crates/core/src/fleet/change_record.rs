use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::FleetChange;
use crate::ids::{Generation, OperationId};

/// One record of the change log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Generation of the fleet state after the record is applied.
    pub generation: Generation,
    /// Operation that wrote the record.
    pub operation: OperationId,
    /// Operator or entry instance that made the change.
    pub author: CompactString,
    /// Changes, applied atomically and in order.
    pub changes: Vec<FleetChange>,
}
