use serde::{Deserialize, Serialize};

/// Whether a backend server takes new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendMode {
    /// Takes work.
    #[default]
    Active,
    /// Refuses new work and finishes what is running.
    Draining,
    /// Is about to leave without knowing it: it still takes work, which the observer counts.
    Leaving,
}

/// Faults of a backend server. All are off by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Every task fails at once.
    pub fail_all: bool,
    /// Added to the run time of each task, in milliseconds.
    pub extra_ms: u64,
    /// Answers are those of another request.
    pub crossed: bool,
    /// Bodies end before the announced length.
    pub truncated: bool,
    /// Tasks run and their connections are closed without an answer.
    pub silent: bool,
    /// Nothing starts and nothing is answered.
    pub frozen: bool,
    /// Whether the server takes new work.
    pub mode: BackendMode,
}
