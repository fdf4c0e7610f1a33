use serde::{Deserialize, Serialize};

/// Faults of the platform's table service and object store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with status 503 and has no effect.
    pub down: bool,
    /// Delay before each answer, in milliseconds.
    pub delay_ms: u64,
    /// Writes take effect and their answers are lost.
    pub lose_answers: bool,
}
