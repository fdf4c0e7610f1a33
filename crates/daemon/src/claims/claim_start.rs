use sesamedeal_core::claims::RecordedResponse;
use sesamedeal_core::scheduler::JobRefusal;

use super::HeldClaim;

/// Result of the attempt to claim a request.
#[derive(Debug)]
pub(crate) enum ClaimStart {
    /// The request is claimed and may be dispatched once.
    Held(Box<HeldClaim>),
    /// The request was run before; this is its recorded response.
    Recorded(RecordedResponse),
    /// The request is not run now.
    Refused(JobRefusal),
}
