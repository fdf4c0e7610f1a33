use std::collections::{BTreeMap, BTreeSet};

use super::instance_sync::ListIndex;
use crate::fleet::{FleetState, InstanceState};
use crate::ids::{InstanceName, WaveName};
use crate::time::TimePoint;

/// Observations that the controller keeps between steps, timed by its own monotonic clock.
///
/// They are not stored and not needed for safety: a new controller starts without them and waits
/// longer.
#[derive(Debug)]
pub(super) struct ControlMemory {
    /// Time since which an instance has been absent from the platform's list.
    pub(super) absent_since: BTreeMap<InstanceName, TimePoint>,
    /// Instances that the platform has listed as leaving.
    pub(super) leaving: BTreeSet<InstanceName>,
    /// Instances that this controller has seen draining.
    pub(super) draining: BTreeSet<InstanceName>,
    /// Time at which this controller first saw an instance rebooting.
    pub(super) rebooting_since: BTreeMap<InstanceName, TimePoint>,
    /// Time of the last reboot request to the platform for an instance.
    pub(super) reboot_requested_at: BTreeMap<InstanceName, TimePoint>,
    /// Time at which a wave completed the maintenance of an instance.
    pub(super) done_at: BTreeMap<(WaveName, InstanceName), TimePoint>,
    /// Time since which a failed member of a wave has been back in service.
    pub(super) recovered_since: BTreeMap<(WaveName, InstanceName), TimePoint>,
    /// Time of the last removal of obsolete rows and objects.
    pub(super) cleaned_at: Option<TimePoint>,
}

impl ControlMemory {
    pub(super) const fn new() -> Self {
        Self {
            absent_since: BTreeMap::new(),
            leaving: BTreeSet::new(),
            draining: BTreeSet::new(),
            rebooting_since: BTreeMap::new(),
            reboot_requested_at: BTreeMap::new(),
            done_at: BTreeMap::new(),
            recovered_since: BTreeMap::new(),
            cleaned_at: None,
        }
    }

    /// Drops observations that no longer apply and records the instances that are draining.
    pub(super) fn refresh(&mut self, state: &FleetState, listed: &ListIndex<'_>) {
        let instance_state = |name: &InstanceName| {
            let instance = state.instances.get(name)?;
            Some(&instance.state)
        };
        let is_rebooting =
            |name: &InstanceName| instance_state(name) == Some(&InstanceState::Rebooting);
        self.absent_since
            .retain(|name, _| state.instances.contains_key(name) && !listed.contains_key(name));
        self.leaving
            .retain(|name| state.instances.contains_key(name));
        self.rebooting_since.retain(|name, _| is_rebooting(name));
        self.reboot_requested_at
            .retain(|name, _| is_rebooting(name));
        self.draining.retain(|name| is_rebooting(name));
        for (name, instance) in &state.instances {
            if instance.state == InstanceState::Draining {
                self.draining.insert(name.clone());
            }
        }
        let has_member = |wave: &WaveName, name: &InstanceName| {
            state
                .waves
                .get(wave)
                .is_some_and(|record| record.members.contains_key(name))
        };
        self.done_at
            .retain(|(wave, name), _| has_member(wave, name));
        self.recovered_since
            .retain(|(wave, name), _| has_member(wave, name));
    }
}
