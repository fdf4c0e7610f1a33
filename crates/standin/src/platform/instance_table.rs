use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sesamedeal_core::ids::InstanceName;
use sesamedeal_store::protocol::{InstanceList, ListedState, PlatformInstance};
use tokio::time::Instant;

/// Something that the platform does to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InstanceEvent {
    /// The machine goes down for a reboot.
    RebootStarted(InstanceName),
    /// The machine is up again.
    RebootDone(InstanceName),
    /// The platform takes the instance away.
    Leaving(InstanceName),
}

/// Answer to `GET /dev/instances/{name}`, without the list's lag.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Whether the machine is rebooting.
    pub rebooting: bool,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// Boot number.
    pub boot: u64,
}

/// Instances, and the list as it was some time ago.
#[derive(Debug, Default)]
pub(crate) struct InstanceTable {
    pub(crate) lag: Duration,
    instances: BTreeMap<InstanceName, PlatformInstance>,
    rebooting: BTreeSet<InstanceName>,
    /// Instances whose next reboot fails.
    failing: BTreeSet<InstanceName>,
    /// Lists with the times from which they are visible.
    history: VecDeque<(Instant, InstanceList)>,
}

impl InstanceTable {
    pub(crate) fn replace(&mut self, list: InstanceList, now: Instant) {
        let named = list.instances.into_iter();
        self.instances = named.map(|item| (item.name.clone(), item)).collect();
        self.publish(now);
    }

    pub(crate) fn put(&mut self, instance: PlatformInstance, now: Instant) {
        self.instances.insert(instance.name.clone(), instance);
        self.publish(now);
    }

    pub(crate) fn remove(&mut self, name: &InstanceName, now: Instant) -> bool {
        let removed = self.instances.remove(name).is_some();
        self.publish(now);
        removed
    }

    pub(crate) fn drain(&mut self, name: &InstanceName, now: Instant) -> bool {
        let Some(instance) = self.instances.get_mut(name) else {
            return false;
        };
        instance.state = ListedState::Leaving;
        self.publish(now);
        true
    }

    pub(crate) fn fail_next_reboot(&mut self, name: &InstanceName) {
        self.failing.insert(name.clone());
    }

    /// None if the instance does not exist; false if it is rebooting already.
    pub(crate) fn start_reboot(&mut self, name: &InstanceName, now: Instant) -> Option<bool> {
        if !self.instances.contains_key(name) {
            return None;
        }
        let started = self.rebooting.insert(name.clone());
        self.publish(now);
        Some(started)
    }

    /// False if the reboot fails, after which the instance is no longer listed.
    pub(crate) fn end_reboot(&mut self, name: &InstanceName, now: Instant) -> bool {
        self.rebooting.remove(name);
        if self.failing.remove(name) {
            self.instances.remove(name);
        }
        let Some(instance) = self.instances.get_mut(name) else {
            self.publish(now);
            return false;
        };
        instance.boot += 1;
        instance.state = ListedState::Live;
        self.publish(now);
        true
    }

    pub(crate) fn status(&self, name: &InstanceName) -> Option<InstanceStatus> {
        let instance = self.instances.get(name)?;
        Some(InstanceStatus {
            rebooting: self.rebooting.contains(name),
            leaving: instance.state == ListedState::Leaving,
            boot: instance.boot,
        })
    }

    /// The newest list that is visible.
    pub(crate) fn list(&mut self, now: Instant) -> InstanceList {
        while self.history.get(1).is_some_and(|(at, _)| *at <= now) {
            self.history.pop_front();
        }
        let oldest = self.history.front().filter(|(at, _)| *at <= now);
        oldest.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// A rebooting instance is not listed.
    fn publish(&mut self, now: Instant) {
        let listed = self.instances.values();
        let listed = listed.filter(|item| !self.rebooting.contains(&item.name));
        let instances = listed.cloned().collect();
        // A list never becomes visible before an earlier one, even when the lag was shortened.
        let last = self.history.back().map_or(now, |(at, _)| *at);
        let visible = (now + self.lag).max(last);
        self.history
            .push_back((visible, InstanceList { instances }));
    }
}
