//! Stand-in of a backend server.

mod backend_faults;
mod backend_fleet;
mod backend_settings;
mod backend_standin;
mod backend_state;
mod backend_usage;
mod run_request;
mod task_result;
mod task_script;

pub use backend_faults::{BackendFaults, BackendMode};
pub use backend_fleet::{BackendFleet, FleetSettings};
pub use backend_settings::{BackendSettings, EventSink};
pub use backend_standin::BackendStandin;
pub use backend_usage::UsageReport;
pub use task_script::TaskScript;
