use serde::{Deserialize, Serialize};

use super::DayTime;

/// Operator's request that nothing more starts in an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationRecord {
    /// Time of the request. A repeated request does not change it.
    pub requested: DayTime,
}
