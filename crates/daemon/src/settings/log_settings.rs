use serde::{Deserialize, Serialize};

/// Least severe log records that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the entry instance handles itself.
    Warning,
    /// Changes of role, generation, session and evidence.
    Info,
    /// Single calls.
    Debug,
}

/// Form of the log records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Lines of text for a terminal.
    Text,
    /// One JSON object per line.
    Json,
}
