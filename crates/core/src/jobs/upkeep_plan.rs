//! Which instance of a maintenance wave is taken out next.
//!
//! Load pattern: a wave of upkeep at the peak of a surge. Instances with the least work go first,
//! and one is taken only while fewer than the wave's limit are out.

use std::time::Duration;

use crate::ids::InstanceName;

/// Maintenance of a set of instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceWave {
    /// Number of the wave.
    pub number: u64,
    /// The instances.
    pub instances: Vec<InstanceName>,
    /// Time within which all are maintained, from when the wave was made known.
    pub complete_by: Duration,
    /// Most of them that may be out at once.
    pub limit: usize,
}

/// An instance that waits for its maintenance.
#[derive(Debug, Clone)]
pub struct UpkeepChoice {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Whether its tasks are being moved away already.
    pub is_evacuating: bool,
    /// Whether a task on it cannot be taken out at present.
    pub is_blocked: bool,
    /// Processor in use on it, in thousandths of a core.
    pub cpu_in_use: u64,
}

/// The next instance to evacuate while `out` instances are out or being evacuated.
#[must_use]
pub fn next_upkeep(limit: usize, out: usize, choices: &[UpkeepChoice]) -> Option<&UpkeepChoice> {
    if out >= limit {
        return None;
    }
    choices
        .iter()
        .filter(|choice| !choice.is_evacuating)
        .min_by_key(|choice| (choice.is_blocked, choice.cpu_in_use))
}
