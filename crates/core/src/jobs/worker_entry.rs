use std::collections::{HashMap, VecDeque};

use super::{HealthRecord, JobId, ResourceAmount, TaskName, WorkerReport, WorkerState};
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
    /// Whether its last call for lists had no answer.
    pub is_unresponsive: bool,
    /// Whether the owner has published it as out of reach. It gets no new tasks until the owner has
    /// published that it is not, so that a successor knows all that may run on it.
    pub is_published: bool,
    /// When its newest answer to a hold was requested.
    pub list_requested: Option<TimePoint>,
    /// When that answer came.
    pub list_received: Option<TimePoint>,
    /// Latest time at which a lease that was granted by any owner ends.
    pub lease_end: TimePoint,
    /// Capacity in use, by runs that exist or may exist.
    pub used: ResourceAmount,
    /// Runs that exist or may exist.
    pub runs: HashMap<(TaskName, u64), ()>,
    pub health: HealthRecord,
    /// Whether tasks are moved away for maintenance or a move.
    pub is_evacuating: bool,
    /// Whether its instance waits for maintenance. Tasks that last are moved away as their budgets
    /// allow; others may still start.
    pub is_maintenance_due: bool,
    /// Whether it runs something of which the amount is not known, until that has been stopped.
    pub has_unknown_runs: bool,
    /// Highest end that was processed, and highest that is stored.
    pub processed_end: u64,
    pub stored_end: u64,
    /// Ends between the two, in order, with the jobs whose records they may have changed.
    pub unstored_ends: VecDeque<(u64, JobId)>,
}

impl WorkerEntry {
    pub(crate) fn new(report: WorkerReport, lease_end: TimePoint) -> Self {
        Self {
            report,
            is_listed: true,
            boot: None,
            is_unresponsive: false,
            is_published: false,
            list_requested: None,
            list_received: None,
            lease_end,
            used: ResourceAmount::default(),
            runs: HashMap::new(),
            health: HealthRecord::default(),
            is_evacuating: false,
            is_maintenance_due: false,
            has_unknown_runs: false,
            processed_end: 0,
            stored_end: 0,
            unstored_ends: VecDeque::new(),
        }
    }

    /// Whether it may be given new tasks.
    pub(crate) fn is_usable(&self, now: TimePoint) -> bool {
        self.is_listed
            && self.list_requested.is_some()
            && !self.is_unresponsive
            && !self.is_published
            && self.report.state == WorkerState::Ready
            && !self.is_evacuating
            && !self.has_unknown_runs
            && !self.health.is_quarantined(now)
    }

    /// Whether a successor may be unable to ask it what it runs.
    pub(crate) const fn is_unreachable(&self) -> bool {
        self.is_unresponsive || !self.is_listed
    }

    pub(crate) fn room(&self) -> ResourceAmount {
        self.report.capacity.without(self.used)
    }
}
