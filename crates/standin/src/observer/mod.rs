//! Independent check of the invariants, from what the backend servers and the platform see.

mod fleet_event;
mod fleet_observer;
mod observer_state;
mod violation_counts;

pub use fleet_event::FleetEvent;
pub use fleet_observer::FleetObserver;
pub use violation_counts::ViolationCounts;
