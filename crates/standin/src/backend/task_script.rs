use serde::{Deserialize, Serialize};

/// What a task of the stand-in does, given as the JSON body of the job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskScript {
    /// Text that the answer echoes.
    pub echo: String,
    /// True run time in milliseconds.
    pub run_ms: u64,
    /// Bytes that the answer is padded to.
    pub answer_bytes: usize,
    /// Whether the task fails wherever it runs.
    pub fail: bool,
    /// Identifier of a non-idempotent job; the observer counts a second run.
    pub once: String,
    /// Key id that the job was submitted with; the observer counts runs after its withdrawal.
    pub key: String,
    /// Slots that the task takes; 0 stands for one.
    pub slots: u32,
}
