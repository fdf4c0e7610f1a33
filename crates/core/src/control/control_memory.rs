use std::collections::{BTreeMap, BTreeSet};

use super::instance_sync::ListIndex;
use crate::fleet::{FleetState, InstanceState};
use crate::ids::{InstanceName, WaveName};
use crate::time::TimePoint;

/// What the controller has observed on its own clock. It is not needed for safety: a new
/// controller starts without it and waits longer.
#[derive(Debug)]
pub(super) struct ControlMemory {
    /// Since when instances have been absent from the list.
    pub(super) absent_since: BTreeMap<InstanceName, TimePoint>,
    /// Instances that the platform listed as leaving.
    pub(super) leaving: BTreeSet<InstanceName>,
    /// Instances that this controller has seen draining.
    pub(super) draining: BTreeSet<InstanceName>,
    /// Since when instances have been seen rebooting.
    pub(super) rebooting_since: BTreeMap<InstanceName, TimePoint>,
    /// When the platform was last asked to reboot an instance.
    pub(super) asked_at: BTreeMap<InstanceName, TimePoint>,
    /// When a wave finished with an instance.
    pub(super) done_at: BTreeMap<(WaveName, InstanceName), TimePoint>,
    /// Since when failed members of a wave have been back in service.
    pub(super) recovered_since: BTreeMap<(WaveName, InstanceName), TimePoint>,
    /// When rows and objects were last removed.
    pub(super) cleaned_at: Option<TimePoint>,
}

impl ControlMemory {
    pub(super) const fn new() -> Self {
        Self {
            absent_since: BTreeMap::new(),
            leaving: BTreeSet::new(),
            draining: BTreeSet::new(),
            rebooting_since: BTreeMap::new(),
            asked_at: BTreeMap::new(),
            done_at: BTreeMap::new(),
            recovered_since: BTreeMap::new(),
            cleaned_at: None,
        }
    }

    /// Drops what no longer applies and takes note of the instances that are draining.
    pub(super) fn forget(&mut self, state: &FleetState, listed: &ListIndex<'_>) {
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
        self.asked_at.retain(|name, _| is_rebooting(name));
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
