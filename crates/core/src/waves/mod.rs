//! Maintenance waves: which instances are due, in which order, and when a wave halts.

mod maintenance_cycle;
mod rollout_bound;
mod wave_health;
mod wave_order;

pub use maintenance_cycle::{CYCLE_DAYS, due_members, is_due};
pub use rollout_bound::rollout_bound;
pub use wave_health::{HALT_FAILURES, halt_reason};
pub use wave_order::next_members;
