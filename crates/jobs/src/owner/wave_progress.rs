use std::collections::{HashMap, HashSet};
use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::time::TimePoint;

use crate::ports::InventoryState;

/// Time for which an instance has to be missing from the inventory until it counts as gone. This is
/// three times the 2 s that maintenance takes, so that maintenance is over even if the list was
/// wrong.
const ABSENCE_LIMIT: Duration = Duration::from_secs(6);

/// State of the maintenance order for a claimed instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MaintenanceClaim {
    /// The claim is not stored yet. A successor might not learn of an order sent before that.
    Unstored,
    /// A previous owner may have sent the order. It is sent again once the instance is empty.
    Inherited(TimePoint),
    /// The order is due.
    Due(TimePoint),
    /// The order is in flight.
    Ordering,
}

/// Absence of an instance from consecutive inventories.
#[derive(Debug, Clone, Copy, Default)]
struct InstanceAbsence {
    /// When the first of these inventories was requested; none if the last one has the instance.
    since: Option<TimePoint>,
}

impl InstanceAbsence {
    /// Records an inventory without the instance that was requested at `sent`, and returns whether
    /// the instance has left the platform.
    fn record(&mut self, sent: TimePoint) -> bool {
        let since = *self.since.get_or_insert(sent);
        sent.since(since) >= ABSENCE_LIMIT
    }
}

/// An instance under maintenance.
#[derive(Debug, Clone, Copy)]
pub(super) struct MaintainedInstance {
    /// When its order was accepted, or when a successor restored it.
    since: TimePoint,
    absence: InstanceAbsence,
}

impl MaintainedInstance {
    pub(super) const fn new(since: TimePoint) -> Self {
        Self {
            since,
            absence: InstanceAbsence { since: None },
        }
    }

    /// Updates the state from a list that was requested at `sent`; `state` is none if the list
    /// lacks the instance. Returns false if the instance is back or has left the platform.
    pub(super) fn update_state(&mut self, state: Option<InventoryState>, sent: TimePoint) -> bool {
        if self.since >= sent {
            return true;
        }
        let Some(state) = state else {
            return !self.absence.record(sent);
        };
        self.absence = InstanceAbsence::default();
        state != InventoryState::Up
    }
}

/// Progress of a wave.
#[derive(Debug, Default)]
pub(super) struct WaveProgress {
    /// Instances whose maintenance has begun, or that are no longer part of the wave.
    pub(super) done: HashSet<InstanceName>,
    /// Instances being evacuated, and since when.
    pub(super) evacuating: HashMap<InstanceName, TimePoint>,
    /// Instances under maintenance.
    pub(super) under_maintenance: HashMap<InstanceName, MaintainedInstance>,
    /// Instances whose order was sent or is about to be sent. They count as under maintenance until
    /// the order is answered.
    pub(super) claimed: HashMap<InstanceName, MaintenanceClaim>,
    /// Open instances that the last inventory lacks.
    absent: HashMap<InstanceName, InstanceAbsence>,
    pub(super) status_version: u64,
    pub(super) is_writing_status: bool,
    /// Whether the last written status is finished; none if the status has to be written.
    pub(super) sent_status: Option<bool>,
}

impl WaveProgress {
    /// Updates which of the wave's open instances are absent from the inventory that was requested
    /// at `sent`. Closes those that have left the platform and returns them.
    pub(super) fn close_absent(
        &mut self,
        instances: &[InstanceName],
        is_present: impl Fn(&InstanceName) -> bool,
        sent: TimePoint,
    ) -> Vec<InstanceName> {
        let mut gone = Vec::new();
        for name in instances {
            if is_present(name) {
                self.absent.remove(name);
                continue;
            }
            let is_ordered =
                self.claimed.contains_key(name) || self.under_maintenance.contains_key(name);
            if is_ordered || self.done.contains(name) {
                continue;
            }
            if self.absent.entry(name.clone()).or_default().record(sent) {
                self.absent.remove(name);
                self.evacuating.remove(name);
                self.done.insert(name.clone());
                gone.push(name.clone());
            }
        }
        gone
    }
}
