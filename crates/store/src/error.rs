use compact_str::CompactString;
use serde::de::Error as _;
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
    /// No answer came; a write may have taken effect, or may still do so.
    #[snafu(display("no answer from the platform: {reason}"))]
    NoAnswer {
        /// What failed.
        reason: String,
    },
    /// The service refused the call with an error status; it had no effect.
    #[snafu(display("the platform answered with status {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// A read returned a state that is older than one that was returned before.
    #[snafu(display("the platform answered with version {version} after version {known}"))]
    Outdated {
        /// Version of the answer.
        version: u64,
        /// Version that was known when the call was sent.
        known: u64,
    },
    /// The answer or a row is not of the expected form.
    #[snafu(display("unexpected content of {what}: {source}"))]
    Content {
        /// Row or answer.
        what: CompactString,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// A stored snapshot cannot be encoded or decoded.
    #[snafu(display("unusable snapshot {key}: {source}"))]
    Snapshot {
        /// Key of the object.
        key: CompactString,
        /// Error of the codec.
        source: sesamedeal_wire::codec::CodecError,
    },
    /// Rows of the change log are missing, and no snapshot covers them.
    #[snafu(display("the change log has a gap after generation {generation}"))]
    LogGap {
        /// Last generation that is known.
        generation: u64,
    },
}

impl PlatformError {
    /// A copy for another caller that waits for the same answer.
    pub(crate) fn copy(&self) -> Self {
        match self {
            Self::Unreachable { reason } => Self::Unreachable {
                reason: reason.clone(),
            },
            Self::Status { status } => Self::Status { status: *status },
            Self::Outdated { version, known } => Self::Outdated {
                version: *version,
                known: *known,
            },
            Self::Content { what, source } => Self::Content {
                what: what.clone(),
                source: serde_json::Error::custom(source),
            },
            Self::NoAnswer { .. } | Self::Snapshot { .. } | Self::LogGap { .. } => Self::NoAnswer {
                reason: self.to_string(),
            },
        }
    }
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;
