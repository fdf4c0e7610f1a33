use std::collections::{HashMap, VecDeque};

use super::{HealthRecord, JobId, ResourceAmount, TaskName, WorkerReport, WorkerState};
use crate::time::TimePoint;

slotmap::new_key_type! {
    /// Key of a worker in the dispatcher.
    pub struct WorkerKey;
}

/// State of a worker in the dispatcher.
#[derive(Debug, Clone)]
pub(crate) struct WorkerEntry {
    /// Newest entry in the platform's list.
    pub report: WorkerReport,
    /// Whether the platform's list still contains the worker.
    pub is_listed: bool,
    /// Boot of the worker at its last answer; none before its first answer in this epoch.
    pub boot: Option<u64>,
    /// Whether the worker did not answer the last hold call.
    pub is_unresponsive: bool,
    /// Whether the owner has published the worker as unreachable. The worker gets no new tasks
    /// until the owner has published otherwise, so that the next owner has the full list of tasks
    /// that may run on it.
    pub is_published: bool,
    /// When the hold call was sent that returned the newest list of runs.
    pub list_requested: Option<TimePoint>,
    /// When the newest list of runs was received.
    pub list_received: Option<TimePoint>,
    /// Latest expiry of any lease granted by this or a previous owner.
    pub lease_end: TimePoint,
    /// Resources reserved for runs that exist or may exist.
    pub used: ResourceAmount,
    /// Runs that exist or may exist, by task and run number.
    pub runs: HashMap<(TaskName, u64), ()>,
    pub health: HealthRecord,
    /// Whether tasks are being moved away because the instance goes into maintenance or moves to
    /// another pool.
    pub is_evacuating: bool,
    /// Whether the worker's instance waits for maintenance. Long-running tasks are moved away as
    /// their disruption budgets allow, and new tasks may still start.
    pub is_maintenance_due: bool,
    /// Whether the worker has runs with an unknown resource usage, until they have been stopped.
    pub has_unknown_runs: bool,
    /// Number of the last end that was processed.
    pub processed_end: u64,
    /// Number of the last end whose effects are stored.
    pub stored_end: u64,
    /// Ends that were processed but are not stored, in order, with the jobs whose records they may
    /// have changed.
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

    /// Whether the worker accepts new tasks.
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

    /// Whether the worker is about to shut down.
    pub(crate) fn is_draining(&self) -> bool {
        self.report.state == WorkerState::Draining
    }

    /// Whether the next owner may be unable to get the list of runs from the worker.
    pub(crate) const fn is_unreachable(&self) -> bool {
        self.is_unresponsive || !self.is_listed
    }

    /// Returns the free capacity.
    pub(crate) fn room(&self) -> ResourceAmount {
        self.report.capacity.without(self.used)
    }
}
