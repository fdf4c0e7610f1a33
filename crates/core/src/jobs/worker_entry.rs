use std::collections::{HashMap, VecDeque};

use compact_str::CompactString;

use super::{
    HealthRecord, JobId, ResourceAmount, RunReport, StartOutcome, TaskName, WorkerOffer,
    WorkerReport, WorkerState,
};
use crate::time::TimePoint;

/// Maximum number of ended boots that are remembered per worker. The list is behind by a few restarts
/// at most.
const MAX_ENDED_BOOTS: usize = 8;

slotmap::new_key_type! {
    /// Key of a worker in the dispatcher.
    pub struct WorkerKey;
}

/// State of a worker in the dispatcher.
#[derive(Debug, Clone)]
pub(crate) struct WorkerEntry {
    /// Newest entry in the platform's list.
    pub report: WorkerReport,
    /// When a change of the entry was last received.
    pub renewed: TimePoint,
    /// Whether the platform's list still contains the worker.
    pub is_listed: bool,
    /// Number of the current link. Once the worker has answered a call of it, calls of earlier links
    /// have no effect any more.
    pub link: u64,
    /// Boot of the worker at its last answer; none before its first answer in this epoch, and
    /// after the list showed a restart.
    pub boot: Option<u64>,
    /// Until when the capacity in an entry of another boot is relied on.
    pub entry_limit: TimePoint,
    /// Boots of the worker that have ended. The list may show them again.
    ended_boots: VecDeque<u64>,
    /// Whether the worker did not answer the last hold call.
    pub is_unresponsive: bool,
    /// When the worker last answered a hold call or an order.
    pub last_answer: TimePoint,
    /// When the newest start was ordered that was given up without an answer.
    pub unanswered_start: Option<TimePoint>,
    /// Whether the owner has published the worker as unreachable. The worker gets no new tasks
    /// until the owner has published otherwise, so that the next owner has the full list of tasks
    /// that may run on it.
    pub is_published: bool,
    /// When the hold call was sent that returned the newest list of runs.
    pub list_requested: Option<TimePoint>,
    /// Whether a list has included all ends since the worker first answered. Until then, ends of runs of a
    /// previous owner may be missing.
    pub is_list_whole: bool,
    /// Whether the newest list was cut short, so that it may lack ends.
    pub is_list_cut: bool,
    /// When the newest list of runs was received.
    pub list_received: Option<TimePoint>,
    /// Latest expiry of any lease granted by this or a previous owner, provided that the worker has not
    /// been started again unnoticed.
    pub lease_end: TimePoint,
    /// Latest expiry of a lease if the worker has been started again unnoticed. The calls of the owner
    /// then name the end of a lease on the clock of the former life, and the worker grants the longest
    /// lease from the moment at which it carries them out.
    pub unnoticed_lease_end: TimePoint,
    /// Resources reserved for runs that exist or may exist.
    pub used: ResourceAmount,
    /// Runs that exist or may exist, by task and run number.
    pub runs: HashMap<(TaskName, u64), ()>,
    /// Number of these runs that are fillers.
    pub fillers: usize,
    /// Time until which none of these runs can have stalled.
    pub stall_check: TimePoint,
    pub health: HealthRecord,
    /// Whether tasks are being moved away because the instance goes into maintenance or moves to
    /// another pool.
    pub is_evacuating: bool,
    /// Whether the operator has asked to evacuate the worker's availability zone. What runs there
    /// goes on, and nothing more starts.
    pub is_zone_evacuated: bool,
    /// Until when the worker is slow after its start.
    pub cold_until: TimePoint,
    /// Whether the worker's instance waits for maintenance. Long-running tasks are moved away as
    /// their disruption budgets allow, and new tasks may still start.
    pub is_maintenance_due: bool,
    /// Whether the worker has runs with an unknown resource usage, until they have been stopped.
    pub has_unknown_runs: bool,
    /// Runs that the newest list shows, of jobs that have not been read. Their resource usage is
    /// unknown.
    pub unread_runs: Vec<RunReport>,
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
            renewed: TimePoint::ORIGIN,
            is_listed: true,
            link: 0,
            boot: None,
            entry_limit: TimePoint::ORIGIN,
            ended_boots: VecDeque::new(),
            is_unresponsive: false,
            last_answer: TimePoint::ORIGIN,
            unanswered_start: None,
            is_published: false,
            list_requested: None,
            is_list_whole: false,
            is_list_cut: false,
            list_received: None,
            lease_end,
            unnoticed_lease_end: lease_end,
            used: ResourceAmount::default(),
            runs: HashMap::new(),
            fillers: 0,
            stall_check: TimePoint::ORIGIN,
            health: HealthRecord::default(),
            is_evacuating: false,
            is_zone_evacuated: false,
            cold_until: TimePoint::ORIGIN,
            is_maintenance_due: false,
            has_unknown_runs: false,
            unread_runs: Vec::new(),
            processed_end: 0,
            stored_end: 0,
            unstored_ends: VecDeque::new(),
        }
    }

    /// Whether the boot of a list entry shows a restart that is not known yet. The list may be
    /// behind the worker's answers, which show a restart as well, and the entry of a boot that never
    /// answered may be written late. Boots are numbered by the time of their start.
    pub(crate) fn is_restart(&self, listed: u64) -> bool {
        listed != self.report.boot
            && self.boot.is_none_or(|answered| listed > answered)
            && !self.ended_boots.contains(&listed)
    }

    /// Replaces the list entry.
    pub(crate) fn set_report(&mut self, report: WorkerReport) {
        let replaced = std::mem::replace(&mut self.report, report);
        if replaced.boot != self.report.boot {
            self.end_boot(replaced.boot);
        }
    }

    /// Records the boot that has answered.
    pub(crate) fn set_boot(&mut self, boot: u64) {
        if let Some(replaced) = self.boot.replace(boot).filter(|replaced| *replaced != boot) {
            self.end_boot(replaced);
        }
        // The worker itself knows best.
        self.ended_boots.retain(|ended| *ended != boot);
    }

    /// Records that the boot that answered last has ended.
    pub(crate) fn forget_boot(&mut self) {
        if let Some(boot) = self.boot.take() {
            self.end_boot(boot);
        }
    }

    /// Records that a boot has ended, unless it is the one that answers.
    fn end_boot(&mut self, boot: u64) {
        if self.boot == Some(boot) || self.ended_boots.contains(&boot) {
            return;
        }
        if self.ended_boots.len() >= MAX_ENDED_BOOTS {
            self.ended_boots.pop_front();
        }
        self.ended_boots.push_back(boot);
    }

    /// Whether the list entry is of the boot that answers. A later boot may be of another kind.
    fn is_entry_current(&self) -> bool {
        self.boot == Some(self.report.boot)
    }

    /// Whether the worker is known to have a label.
    pub(crate) fn has_label(&self, label: &CompactString) -> bool {
        self.is_entry_current() && self.report.labels.contains(label)
    }

    /// Whether the worker accepts new tasks.
    pub(crate) fn is_usable(&self, now: TimePoint) -> bool {
        self.is_listed
            && self.is_list_whole
            && !self.is_list_cut
            && (self.is_entry_current() || now < self.entry_limit)
            && !self.is_unresponsive
            && !self.is_silent()
            && !self.is_published
            && self.report.state == WorkerState::Ready
            && !self.is_evacuating
            && !self.is_zone_evacuated
            && !self.has_unknown_runs
            && self.unread_runs.is_empty()
            && !self.health.is_quarantined(now)
    }

    /// Extends the recorded lease to `lease_end`, and to `unnoticed_end` if the worker has been started
    /// again unnoticed.
    pub(crate) fn extend_lease(&mut self, lease_end: TimePoint, unnoticed_end: TimePoint) {
        self.lease_end = self.lease_end.max(lease_end);
        self.unnoticed_lease_end = self.unnoticed_lease_end.max(unnoticed_end);
    }

    /// Records the answer to a start that was ordered at `ordered`, or that it had none.
    pub(crate) fn note_start(
        &mut self,
        outcome: StartOutcome,
        ordered: Option<TimePoint>,
        now: TimePoint,
    ) {
        match outcome {
            StartOutcome::Unknown => self.unanswered_start = self.unanswered_start.max(ordered),
            // The worker may not have been reached.
            StartOutcome::Unavailable => {}
            StartOutcome::Started
            | StartOutcome::Fenced
            | StartOutcome::Refused
            | StartOutcome::TicketRefused => self.last_answer = now,
        }
    }

    /// Whether the worker has answered nothing since a start was ordered that was given up. A hold call
    /// may take seconds longer to fail, and each further start would extend the time for which the
    /// tasks of a lost worker have to wait.
    fn is_silent(&self) -> bool {
        self.unanswered_start
            .is_some_and(|ordered| ordered >= self.last_answer)
    }

    /// Whether the worker is about to shut down.
    pub(crate) fn is_draining(&self) -> bool {
        self.report.state == WorkerState::Draining
    }

    /// Whether the next owner may be unable to get the list of runs from the worker.
    pub(crate) const fn is_unreachable(&self) -> bool {
        self.is_unresponsive || !self.is_listed
    }

    /// Returns what the choice of a worker depends on.
    pub(crate) fn offer<K>(&self, key: K, is_near: bool, now: TimePoint) -> WorkerOffer<K> {
        WorkerOffer {
            key,
            room: self.room(),
            capacity: self.report.capacity,
            is_near,
            is_on_trial: self.health.is_on_trial(),
            is_cold: now < self.cold_until,
            is_maintenance_due: self.is_maintenance_due,
        }
    }

    /// Returns the free capacity.
    pub(crate) fn room(&self) -> ResourceAmount {
        self.report.capacity.without(self.used)
    }
}
