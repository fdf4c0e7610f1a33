use std::collections::{HashMap, HashSet};
use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::time::TimePoint;

use crate::ports::InventoryState;

/// Time for which an instance has to be missing_since from the inventory until it counts as gone. That is
/// three times the 2 s that maintenance takes, so that it is over even if the list was wrong.
const ABSENCE_LIMIT: Duration = Duration::from_secs(6);

/// State of the order for an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MaintenanceClaim {
    /// The claim is not stored yet. An order before that could be unknown to a successor.
    Unstored,
    /// An earlier owner may have sent the order. It is sent again once the instance is empty.
    Inherited(TimePoint),
    /// The order is due.
    Due(TimePoint),
    /// The order is under way.
    Ordering,
}

/// An instance that is down for its maintenance.
#[derive(Debug, Clone, Copy)]
pub(super) struct MaintainedInstance {
    /// When its order was accepted, or when a successor learned of that.
    since: TimePoint,
    /// When the first of the latest lists without it was asked for; none if the last list has it.
    missing_since: Option<TimePoint>,
}

impl MaintainedInstance {
    pub(super) const fn new(since: TimePoint) -> Self {
        Self {
            since,
            missing_since: None,
        }
    }

    /// Takes the state that a list asked for at `sent` shows; none if the instance is missing_since from
    /// it. False if the instance is back or has left the platform.
    pub(super) fn update_state(&mut self, state: Option<InventoryState>, sent: TimePoint) -> bool {
        if self.since >= sent {
            return true;
        }
        let Some(state) = state else {
            let missing_since = *self.missing_since.get_or_insert(sent);
            return sent.since(missing_since) < ABSENCE_LIMIT;
        };
        self.missing_since = None;
        state != InventoryState::Up
    }
}

/// Progress of a wave.
#[derive(Debug, Default)]
pub(super) struct WaveProgress {
    /// Instances whose maintenance has begun, or that are no longer part of the wave.
    pub(super) done: HashSet<InstanceName>,
    /// Instances that are evacuating, and since when.
    pub(super) evacuating: HashMap<InstanceName, TimePoint>,
    /// Instances that are down.
    pub(super) under_maintenance: HashMap<InstanceName, MaintainedInstance>,
    /// Instances whose order was sent or is about to be. They count as down until the order has an
    /// answer.
    pub(super) claimed: HashMap<InstanceName, MaintenanceClaim>,
    pub(super) status_version: u64,
    pub(super) is_writing_status: bool,
    pub(super) stored_status: Option<bool>,
}
