//! Worker state that placement depends on: free slots, recent failures, quarantine and departure.

mod placement_state;
mod worker_health;
mod worker_record;

pub(crate) use placement_state::PlacementState;
pub(crate) use worker_health::WorkerHealth;
pub(crate) use worker_record::{JobRequirements, WorkerRecord, slots_for};
