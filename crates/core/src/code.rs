//! Numbered result codes.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the job of a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The job ran and the response comes from the backend server.
    Ran,
    /// The job was not started, so the caller can safely resubmit it.
    NotRun,
    /// The job was sent and its outcome is unknown.
    Unknown,
}

impl RunState {
    /// Value of the `sesamedeal-run-state` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! result_codes {
    ($(#[doc = $doc:literal] $name:ident = $number:literal, $label:literal, $run:ident, $status:literal, $temporary:literal;)*) => {
        /// Result of a request or an operator's command.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ResultCode {
            $(#[doc = $doc] $name,)*
        }

        impl ResultCode {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The code's number.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Short label, used in metrics and logs.
            #[must_use]
            pub const fn label(self) -> &'static str {
                match self { $(Self::$name => $label,)* }
            }

            /// Meaning of the code in one sentence.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $doc.trim_ascii(),)* }
            }

            /// Whether a job with this result ran.
            #[must_use]
            pub const fn run_state(self) -> RunState {
                match self { $(Self::$name => RunState::$run,)* }
            }

            /// HTTP status that the code is sent with.
            #[must_use]
            pub const fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Whether the same request can succeed later without a change by the caller.
            #[must_use]
            pub const fn is_temporary(self) -> bool {
                match self { $(Self::$name => $temporary,)* }
            }

            /// Finds a code by its number.
            #[must_use]
            pub const fn from_number(number: u16) -> Option<Self> {
                match number { $($number => Some(Self::$name),)* _ => None }
            }
        }
    };
}

result_codes! {
    /// The backend server's answer is passed on whole.
    Ok = 1000, "ok", Ran, 200, false;
    /// The request is malformed.
    BadRequest = 1001, "bad-request", NotRun, 400, false;
    /// No queue of this name exists.
    UnknownQueue = 1002, "unknown-queue", NotRun, 404, false;
    /// The queue needs a key and none came with the request.
    MissingKey = 1003, "missing-key", NotRun, 401, false;
    /// The key is not known or its secret does not match.
    InvalidKey = 1004, "invalid-key", NotRun, 401, false;
    /// The key was withdrawn.
    WithdrawnKey = 1005, "withdrawn-key", NotRun, 403, false;
    /// The headers or the body exceed the size bounds.
    TooLarge = 1006, "too-large", NotRun, 413, false;
    /// The caller made no progress within the time allowed.
    SlowCaller = 1007, "slow-caller", NotRun, 408, false;
    /// No worker of the pool is as large as the job.
    NeverFits = 1008, "never-fits", NotRun, 422, false;
    /// The queue is full.
    QueueFull = 1010, "queue-full", NotRun, 429, true;
    /// The estimated wait exceeds the deadline.
    WaitTooLong = 1011, "wait-too-long", NotRun, 503, true;
    /// The deadline passed while the job was queued.
    DeadlinePassed = 1012, "deadline-passed", NotRun, 503, true;
    /// The entry instance cannot show that its configuration is current.
    StaleState = 1013, "stale-state", NotRun, 503, true;
    /// The table service could not record the claim of a non-idempotent request.
    ClaimUnavailable = 1014, "claim-unavailable", NotRun, 503, true;
    /// The entry instance is shutting down.
    ShuttingDown = 1015, "shutting-down", NotRun, 503, true;
    /// The entry instance has no configuration yet.
    NotReady = 1016, "not-ready", NotRun, 503, true;
    /// The caller closed its connection before the job was started.
    CallerGone = 1017, "caller-gone", NotRun, 499, false;
    /// No worker accepted the job within the retries allowed.
    NoWorker = 1018, "no-worker", NotRun, 503, true;
    /// The job was sent and its end is not known.
    OutcomeUnknown = 1020, "outcome-unknown", Unknown, 502, false;
    /// A request with the same idempotency key is still running.
    InProgress = 1021, "in-progress", Unknown, 409, true;
    /// The backend server's answer was incomplete or belonged to another request.
    BadAnswer = 1022, "bad-answer", Unknown, 502, false;
    /// The job was stopped after it had started.
    Stopped = 1023, "stopped", Unknown, 503, true;
    /// The idempotency key was used before with a different request.
    KeyReused = 1024, "key-reused", NotRun, 422, false;
    /// The job failed on several workers with good records.
    CannotRun = 1025, "cannot-run", Ran, 422, false;
    /// The peer speaks another message version.
    VersionMismatch = 1030, "version-mismatch", NotRun, 426, false;
    /// The configuration changed since the change was planned.
    ChangeConflict = 1031, "change-conflict", NotRun, 409, true;
    /// The sheet or change has errors.
    InvalidChange = 1032, "invalid-change", NotRun, 422, false;
    /// The platform's service does not answer.
    StoreUnavailable = 1033, "store-unavailable", NotRun, 503, true;
    /// The change is accepted and not yet in force on every entry instance.
    NotYetInForce = 1034, "not-yet-in-force", Ran, 202, true;
    /// The availability budget does not allow the change.
    BudgetExceeded = 1035, "budget-exceeded", NotRun, 409, true;
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.label())
    }
}
