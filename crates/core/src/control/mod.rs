//! Decisions of the controller, the process that holds the controller's lease.

mod control_input;
mod control_step;
mod controller;

pub use control_input::{ControlInput, HealthReport, HealthVerdict, LogExtent};
pub use control_step::{CleanupOrder, ControlNote, ControlStep, RebootOrder};
pub use controller::{ControlPolicy, Controller};
