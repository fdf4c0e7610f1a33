//! Client of the platform: table service, object store and instance list.

mod backoff_delay;
mod change_log;
mod circuit_breaker;
mod error;
mod log_cleanup;
mod log_snapshot;
mod platform_client;
mod platform_counters;
mod platform_settings;
pub mod protocol;
mod read_coalescer;
mod retry_budget;
pub mod rows;
mod service_caller;
mod table_writer;
mod transport;
mod typed_rows;

pub use backoff_delay::{MAX_BACKOFF, MIN_BACKOFF, backoff_delay};
pub use change_log::{AppendOutcome, ChangeLog};
pub use circuit_breaker::{BreakerPermit, BreakerState, CircuitBreaker};
pub use error::{PlatformError, Result};
pub use log_cleanup::{CleanupReport, KEPT_RECORDS, KEPT_SNAPSHOTS};
pub use log_snapshot::{MissingChanges, SNAPSHOT_INTERVAL};
pub use platform_client::PlatformClient;
pub use platform_counters::{
    BreakerCounters, CallKind, PlatformCounters, PlatformService, RetryReason,
};
pub use platform_settings::PlatformSettings;
pub use retry_budget::RetryBudget;
pub use table_writer::WithdrawOutcome;
pub use transport::{AnswerLimits, CallTransport, PlatformCall, PlatformReply};
pub use typed_rows::{PutCondition, TypedRow, row_put};
