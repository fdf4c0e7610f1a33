use compact_str::CompactString;
use snafu::Snafu;

/// Failure of a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum PlatformError {
    /// The service was not reached, so that a write has not taken effect.
    #[snafu(display("the platform is not reachable: {reason}"))]
    Unreachable {
        /// What failed.
        reason: String,
    },
    /// No answer came; a write may have taken effect.
    #[snafu(display("no answer from the platform: {reason}"))]
    NoAnswer {
        /// What failed.
        reason: String,
    },
    /// The service answered with an error status.
    #[snafu(display("the platform answered with status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The answer or a row is not of the expected form.
    #[snafu(display("unexpected content of {what}: {source}"))]
    Content {
        /// Row or answer.
        what: CompactString,
        /// Error of the parser.
        source: serde_json::Error,
    },
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;
