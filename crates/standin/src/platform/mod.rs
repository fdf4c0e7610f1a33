//! Stand-in of the platform: table service, object store and instance list.

mod platform_faults;
mod platform_standin;
mod table_state;

pub use platform_faults::PlatformFaults;
pub use platform_standin::PlatformStandin;
