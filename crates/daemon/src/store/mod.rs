//! Follows the change log in the table service.

mod state_follower;

pub(crate) use state_follower::{FleetView, StateFollower};
