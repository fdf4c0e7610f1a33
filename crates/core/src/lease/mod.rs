//! Lease of the controller: which process may write planned changes.

mod instance_capacity;
mod lag_detector;
mod lease_candidate;
mod lease_record;

pub use instance_capacity::InstanceCapacity;
pub use lag_detector::{LagDetector, LagPolicy, RenewalReport};
pub use lease_candidate::{LeaseAction, LeaseCandidate, LeasePolicy};
pub use lease_record::LeaseRecord;
