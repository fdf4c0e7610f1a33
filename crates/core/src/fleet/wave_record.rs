use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::DayTime;
use crate::ids::InstanceName;

/// Progress of one instance in a maintenance wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStep {
    /// Maintenance has not started.
    Pending,
    /// The instance is draining or rebooting.
    Working,
    /// The instance is back in service with a new boot identifier.
    Done,
    /// The instance failed during its maintenance. Counts towards halting the wave.
    Failed,
    /// The instance left the fleet, or it failed and an operator accepted the failure by resuming
    /// the wave.
    Skipped,
}

/// Whether a wave starts maintenance on further instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveStatus {
    /// Starts maintenance on instances as availability budgets allow.
    Running,
    /// Starts no further maintenance until the wave is resumed.
    Halted {
        /// Reason for the halt.
        reason: CompactString,
        /// Whether the wave resumes automatically once its failed members have recovered.
        resumes: bool,
    },
    /// Every member is done or skipped.
    Finished,
}

/// A maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Start time of the wave.
    pub started: DayTime,
    /// Whether the wave is running, halted or finished.
    pub status: WaveStatus,
    /// Progress of each instance.
    pub members: BTreeMap<InstanceName, MemberStep>,
}

impl WaveRecord {
    /// Creates a running wave in which every instance is pending.
    #[must_use]
    pub fn new(started: DayTime, members: impl IntoIterator<Item = InstanceName>) -> Self {
        Self {
            started,
            status: WaveStatus::Running,
            members: members
                .into_iter()
                .map(|name| (name, MemberStep::Pending))
                .collect(),
        }
    }

    /// Returns the number of members at the given step.
    #[must_use]
    pub fn count(&self, step: MemberStep) -> usize {
        self.members
            .values()
            .filter(|&&found| found == step)
            .count()
    }
}
