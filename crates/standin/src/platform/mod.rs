//! Stand-in of the platform: table service, object store and instance list.

mod instance_table;
mod platform_control;
mod platform_faults;
mod platform_standin;
mod platform_state;
mod store_load;
mod table_state;

pub use instance_table::{InstanceEvent, InstanceStatus};
pub use platform_control::PlatformControl;
pub use platform_faults::{FaultScope, PlatformFaults};
pub use platform_standin::PlatformStandin;
pub use store_load::{RateLimits, StoreCounters};
