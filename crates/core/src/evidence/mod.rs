//! Evidence that the state of an entry instance is current.

mod evidence_check;
mod evidence_tracker;
mod pause_detector;

pub use evidence_check::{EvidencePolicy, EvidenceVerdict, PeerEvidence, check_evidence};
pub use evidence_tracker::EvidenceTracker;
pub use pause_detector::PauseDetector;
