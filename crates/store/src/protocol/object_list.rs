use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Answer to `GET /v1/objects?prefix=`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Keys of the objects, in order.
    pub keys: Vec<CompactString>,
}
