//! The controller: contends for the lease, decides for the fleet and carries the decisions out.

mod control_round;
mod control_upkeep;
mod controller_actor;
mod health_loop;
mod platform_list;
mod session_cache;

pub(crate) use controller_actor::{ControlTick, ControllerActor, tick_period};
pub(crate) use health_loop::{HealthLoop, note_health};
