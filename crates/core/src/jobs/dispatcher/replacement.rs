//! Workers that have ended because a newer one runs on their instance.

use super::JobDispatcher;
use crate::jobs::{LossReason, WorkerKey};
use crate::time::TimePoint;

impl JobDispatcher {
    /// Compares a worker that is new to the list with the newest known one of its instance. An
    /// instance has one worker at a time, so that the older one has ended.
    pub(super) fn settle_instance(&mut self, key: WorkerKey, now: TimePoint) {
        let Some(instance) = self.workers[key].report.instance.clone() else {
            return;
        };
        let boot = self.workers[key].report.boot;
        self.confirm_crashes(|crash| {
            crash.instance.as_ref() == Some(&instance) && crash.boot < boot
        });
        let known = self.keys_by_instance.get(&instance).copied();
        let known = known.filter(|known| self.workers.contains_key(*known));
        let Some(known) = known else {
            self.keys_by_instance.insert(instance, key);
            return;
        };
        let known_boot = self.workers[known].report.boot;
        if known_boot < boot {
            self.keys_by_instance.insert(instance, key);
            self.end_replaced(known, now);
        } else if known_boot > boot {
            self.end_replaced(key, now);
        }
    }

    /// Ends a worker whose instance has a newer one, unless it answers.
    fn end_replaced(&mut self, key: WorkerKey, now: TimePoint) {
        let entry = &self.workers[key];
        if entry.list_requested.is_some() && !entry.is_unreachable() {
            return;
        }
        self.implicate_runs(key, true);
        self.confirm_end(key);
        self.lose_runs(key, LossReason::Replaced, |_| true, now);
        let entry = &mut self.workers[key];
        entry.is_listed = false;
        entry.lease_end = now;
        let name = entry.report.name.clone();
        // No task of a previous owner can run there either.
        if let Some(inherited) = self.inherited_unreachable.get_mut(&name) {
            inherited.lease_end = now;
        }
        if let Some(inherited) = &mut self.inherited_workers {
            inherited.remove(&name);
        }
    }

    /// Records that a worker has ended, for the tasks that are implicated in its crash.
    pub(super) fn confirm_end(&mut self, key: WorkerKey) {
        let entry = &self.workers[key];
        let boot = entry.boot.unwrap_or(entry.report.boot);
        let name = entry.report.name.clone();
        self.confirm_crashes(|crash| crash.worker == name && crash.boot == boot);
    }

    pub(super) fn remove_worker(&mut self, key: WorkerKey) {
        let Some(entry) = self.workers.remove(key) else {
            return;
        };
        self.keys_by_name.remove(&entry.report.name);
        if let Some(instance) = &entry.report.instance
            && self.keys_by_instance.get(instance) == Some(&key)
        {
            self.keys_by_instance.remove(instance);
        }
    }
}
