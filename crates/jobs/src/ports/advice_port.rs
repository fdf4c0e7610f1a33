use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::StepName;

use super::AsyncCall;

/// Question which of some workers may run a step.
#[derive(Debug, Clone)]
pub struct AdviceCall {
    /// The step.
    pub step: StepName,
    /// Names of the workers.
    pub workers: Vec<InstanceName>,
}

/// Answer to an [`AdviceCall`].
#[derive(Debug, Clone)]
pub struct AdviceAnswer {
    /// Workers that may run the step, each with its ticket.
    pub allowed: Vec<(InstanceName, CompactString)>,
    /// Time for which the tickets are valid.
    pub valid: Duration,
}

/// The policy service of queues that need tickets.
#[derive(Clone)]
pub struct AdvicePort {
    /// Asks the service.
    pub advise: AsyncCall<AdviceCall, AdviceAnswer>,
}

impl fmt::Debug for AdvicePort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AdvicePort").finish_non_exhaustive()
    }
}
