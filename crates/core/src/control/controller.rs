use std::time::Duration;

use super::{ControlInput, ControlStep};
use crate::membership::{MembershipPolicy, SessionTracker};

/// Settings of the controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlPolicy {
    /// Bounds by which absences are judged.
    pub membership: MembershipPolicy,
    /// Absence from the list after which an instance counts as failed.
    pub absence_grace: Duration,
    /// Time after which a rebooting instance that is not back counts as failed.
    pub reboot_deadline: Duration,
    /// Time for which all failed members of a halted wave must be back before it resumes.
    pub recovery_time: Duration,
}

impl ControlPolicy {
    /// Creates the default policy.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            membership: MembershipPolicy::new(),
            absence_grace: Duration::from_secs(3),
            reboot_deadline: Duration::from_mins(10),
            recovery_time: Duration::from_mins(10),
        }
    }
}

impl Default for ControlPolicy {
    fn default() -> Self {
        Self::new()
    }
}

/// Decides on behalf of the fleet. A process that takes over the lease creates a new controller.
#[derive(Debug)]
pub struct Controller {
    tracker: SessionTracker,
}

impl Controller {
    /// Creates a controller that has seen nothing.
    #[must_use]
    pub const fn new(policy: ControlPolicy) -> Self {
        Self {
            tracker: SessionTracker::new(policy.membership),
        }
    }

    /// Decides on the input. The result depends on the inputs since `new` alone.
    pub fn step(&mut self, input: ControlInput<'_>) -> ControlStep {
        let list = input.list.unwrap_or_default();
        self.tracker.observe(input.sessions, list, input.now);
        ControlStep {
            settled: input.settled,
            ..ControlStep::default()
        }
    }
}
