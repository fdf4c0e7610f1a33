//! Controller lease, which decides which process may write planned changes, and detection of
//! owners that lag behind the store.

mod instance_capacity;
mod lag_detector;
mod lease_candidate;
mod lease_record;

pub use instance_capacity::InstanceCapacity;
pub use lag_detector::{LagDetector, LagPolicy, RenewalReport};
pub use lease_candidate::{LeaseAction, LeaseCandidate, LeasePolicy};
pub use lease_record::LeaseRecord;
