use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::StepName;

use super::AsyncCall;

/// Request to the policy service: which of the workers may run a step.
#[derive(Debug, Clone)]
pub struct AdviceCall {
    /// Step to run.
    pub step: StepName,
    /// Candidate workers.
    pub workers: Vec<InstanceName>,
    /// Time after which the request is given up.
    pub timeout: Duration,
}

/// Response to an [`AdviceCall`].
#[derive(Debug, Clone)]
pub struct AdviceAnswer {
    /// Workers that may run the step, each with its ticket.
    pub allowed: Vec<(InstanceName, CompactString)>,
    /// Validity period of the tickets.
    pub valid: Duration,
}

/// Policy service for queues that require tickets.
#[derive(Clone)]
pub struct AdvicePort {
    /// Requests tickets for a step from the service.
    pub advise: AsyncCall<AdviceCall, AdviceAnswer>,
}

impl fmt::Debug for AdvicePort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdvicePort").finish_non_exhaustive()
    }
}
