use std::net::SocketAddr;
use std::path::PathBuf;

use sesamedeal_core::code::ResultCode;
use snafu::Snafu;

use crate::advice::advice;

/// Exit code of a failure that has no result code of its own.
const GENERAL_FAILURE: u8 = 1;

/// Reason why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The entry instance cannot be reached or broke off its answer.
    #[snafu(display("no answer from {address}: {reason}; check the address and try again"))]
    NoAnswer {
        /// Address of the entry instance.
        address: SocketAddr,
        /// What failed.
        reason: String,
    },
    /// The entry instance answered with a result code other than ok.
    #[snafu(display("{}\nwhat to do: {}", refusal_line(*code, text), advice(*code)))]
    Refused {
        /// The result code.
        code: ResultCode,
        /// What the entry instance said and what to do next.
        text: String,
    },
    /// The answer is not of the expected form.
    #[snafu(display("unexpected answer from {address}: {reason}"))]
    UnexpectedAnswer {
        /// Address of the entry instance.
        address: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A stand-in or an entry instance cannot be started.
    #[snafu(display("cannot start {what}: {reason}"))]
    Start {
        /// What was to be started.
        what: String,
        /// What failed.
        reason: String,
    },
    /// The demonstration counted broken promises.
    #[snafu(display("{count} promises were broken"))]
    BrokenPromises {
        /// Number of violations.
        count: u64,
    },
    /// An argument has a value that is not allowed.
    #[snafu(display("{argument}: {reason}"))]
    Argument {
        /// Name of the argument.
        argument: &'static str,
        /// What is allowed.
        reason: String,
    },
}

impl CliError {
    /// Exit code of the process: the result code less 1000, or 1 if there is none.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { code, .. } => {
                u8::try_from(code.number() - ResultCode::Ok.number()).unwrap_or(GENERAL_FAILURE)
            }
            _ => GENERAL_FAILURE,
        }
    }
}

fn refusal_line(code: ResultCode, text: &str) -> String {
    if text.is_empty() {
        code.to_string()
    } else {
        format!("{code}: {text}")
    }
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, CliError>;
