use std::collections::HashMap;

use super::{HealthRecord, ResourceAmount, TaskName, WorkerReport, WorkerState};
use crate::time::TimePoint;

slotmap::new_key_type! {
    /// Key of a worker in the dispatcher.
    pub struct WorkerKey;
}

/// What the dispatcher knows of a worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerEntry {
    pub report: WorkerReport,
    /// Whether the platform's list still has it.
    pub is_listed: bool,
    /// Boot that answered last; none before the first answer under the present epoch.
    pub boot: Option<u64>,
    /// When its newest answer to a hold was requested.
    pub held: Option<TimePoint>,
    /// Latest time at which a lease that was granted by any owner ends.
    pub lease_end: TimePoint,
    /// Capacity in use, by runs that exist or may exist.
    pub used: ResourceAmount,
    /// Runs that exist or may exist.
    pub runs: HashMap<(TaskName, u64), ()>,
    pub health: HealthRecord,
    /// Whether tasks are moved away for maintenance or a move.
    pub is_evacuating: bool,
    /// Highest end that was processed, and highest that is stored.
    pub processed_end: u64,
    pub stored_end: u64,
}

impl WorkerEntry {
    pub(crate) fn new(report: WorkerReport, lease_end: TimePoint) -> Self {
        Self {
            report,
            is_listed: true,
            boot: None,
            held: None,
            lease_end,
            used: ResourceAmount::default(),
            runs: HashMap::new(),
            health: HealthRecord::default(),
            is_evacuating: false,
            processed_end: 0,
            stored_end: 0,
        }
    }

    /// Whether it may be given new tasks.
    pub(crate) fn is_usable(&self, now: TimePoint) -> bool {
        self.is_listed
            && self.held.is_some()
            && self.report.state == WorkerState::Ready
            && !self.is_evacuating
            && !self.health.is_avoided(now)
    }

    pub(crate) fn room(&self) -> ResourceAmount {
        self.report.capacity.without(self.used)
    }

    /// Whether it is up, listed and not about to leave.
    pub(crate) fn is_sound(&self) -> bool {
        self.is_listed && self.held.is_some() && self.report.state == WorkerState::Ready
    }
}
