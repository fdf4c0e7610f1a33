//! Decision logic of the controller, which runs in the process that holds the controller's lease.

mod control_input;
mod control_memory;
mod control_step;
mod controller;
mod housekeeping;
mod instance_sync;
mod move_control;
mod step_draft;
mod wave_control;

pub use control_input::{ControlInput, HealthReport, HealthVerdict, LogExtent};
pub use control_step::{CleanupOrder, ControlNote, ControlStep, RebootOrder};
pub use controller::{ControlPolicy, Controller};
