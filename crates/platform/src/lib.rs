//! Client of the platform: table service, object store and instance list.

mod change_log;
mod error;
mod http_call;
mod platform_client;
pub mod protocol;
pub mod rows;

pub use change_log::{AppendOutcome, ChangeLog};
pub use error::{PlatformError, Result};
pub use platform_client::{PlatformClient, PlatformSettings};
