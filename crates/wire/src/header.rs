//! Names of the HTTP headers, in lower case as `hyper` expects them.

/// Identifier of the request, echoed in every answer.
pub const REQUEST_ID: &str = "sesamedeal-request-id";
/// Number of the result code.
pub const CODE: &str = "sesamedeal-code";
/// `ran`, `not-run` or `unknown`.
pub const RUN_STATE: &str = "sesamedeal-run-state";
/// Declared processor cores of the job.
pub const CORES: &str = "sesamedeal-cores";
/// Declared memory of the job in MB.
pub const MEMORY_MB: &str = "sesamedeal-memory-mb";
/// Declared run time of the job in milliseconds.
pub const RUN_MS: &str = "sesamedeal-run-ms";
/// Time within which the caller wants its answer, in milliseconds.
pub const DEADLINE_MS: &str = "sesamedeal-deadline-ms";
/// `1` marks an urgent job.
pub const URGENT: &str = "sesamedeal-urgent";
/// `1` marks an idempotent job.
pub const IDEMPOTENT: &str = "sesamedeal-idempotent";
/// Caller's key for at-most-once execution of a non-idempotent job.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Identifier of one attempt to run a job on a backend server.
pub const ATTEMPT: &str = "sesamedeal-attempt";
/// Pool under which a backend server is used.
pub const POOL: &str = "sesamedeal-pool";
/// Team that an attempt counts against.
pub const TEAM: &str = "sesamedeal-team";
/// Unix time in milliseconds after which a backend server must not start the attempt.
pub const START_BY_MS: &str = "sesamedeal-start-by-ms";
/// Longest time that the attempt may run, in milliseconds.
pub const LEASE_MS: &str = "sesamedeal-lease-ms";
/// State of a backend server that did not start an attempt: `not-started` or `draining`.
pub const STATE: &str = "sesamedeal-state";
/// Seconds after which coming back makes sense.
pub const RETRY_AFTER: &str = "retry-after";
