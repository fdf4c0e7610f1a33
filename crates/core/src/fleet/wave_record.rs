use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::DayTime;
use crate::ids::InstanceName;

/// Progress of one instance in a maintenance wave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberStep {
    /// Waits for its turn.
    Pending,
    /// Is draining or rebooting.
    Working,
    /// Is back in service with a new boot.
    Done,
    /// Failed while the wave worked on it. Counts towards halting the wave.
    Failed,
    /// Left the fleet, or failed and was accepted by an operator who resumed the wave.
    Skipped,
}

/// Whether a wave takes further instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveStatus {
    /// Takes instances as budgets allow.
    Running,
    /// Takes no instance until it is resumed.
    Halted {
        /// Why the wave was halted.
        reason: CompactString,
        /// Whether it resumes by rule once its failed members have recovered.
        resumes: bool,
    },
    /// Every member is done or skipped.
    Finished,
}

/// A maintenance wave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// When the wave was started.
    pub started: DayTime,
    /// Whether it takes further instances.
    pub status: WaveStatus,
    /// Progress per instance.
    pub members: BTreeMap<InstanceName, MemberStep>,
}

impl WaveRecord {
    /// Creates a running wave in which every instance waits for its turn.
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

    /// Number of members at a step.
    #[must_use]
    pub fn count(&self, step: MemberStep) -> usize {
        self.members
            .values()
            .filter(|&&found| found == step)
            .count()
    }
}
