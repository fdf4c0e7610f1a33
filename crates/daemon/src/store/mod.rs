//! Keeps the agreed state: follows the change log and judges whether the state is current.

mod evidence_gate;
mod state_follower;
mod state_keeper;

pub(crate) use evidence_gate::EvidenceGate;
pub(crate) use state_follower::StateFollower;
pub(crate) use state_keeper::{FleetView, StateKeeper};
