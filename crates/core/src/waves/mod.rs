//! Maintenance waves: who is due, in which order, and when a wave halts.

mod rollout_bound;
mod standing_schedule;
mod wave_health;
mod wave_order;

pub use rollout_bound::rollout_bound;
pub use standing_schedule::{CYCLE_DAYS, due_members, is_due};
pub use wave_health::{HALT_FAILURES, halt_reason};
pub use wave_order::next_members;
