//! Unreachable workers. The owner publishes them with the tasks that may run on them, so that its
//! successor does not start these tasks a second time.

use std::collections::{HashMap, HashSet};

use super::JobDispatcher;
use crate::ids::{InstanceName, PoolName};
use crate::jobs::worker_entry::WorkerEntry;
use crate::jobs::{TaskName, UnreachableWorker, WorkerKey};
use crate::time::TimePoint;

/// Maximum number of tasks that are published. The heartbeat is limited to 64 KiB.
const MAX_PUBLISHED_TASKS: usize = 1_200;

/// Maximum number of workers that are published.
const MAX_PUBLISHED_WORKERS: usize = 300;

/// Tasks that may run on a worker that the previous owner could not reach.
#[derive(Debug, Clone)]
pub(super) struct InheritedRuns {
    /// Latest time at which a lease of the worker ends.
    pub lease_end: TimePoint,
    pub tasks: HashSet<TaskName>,
}

impl JobDispatcher {
    /// Sets the unreachable workers that the previous owner published.
    #[must_use]
    pub fn with_unreachable_workers(mut self, published: Vec<UnreachableWorker>) -> Self {
        let published = published.into_iter();
        self.inherited_unreachable = published
            .map(|worker| {
                let runs = InheritedRuns {
                    lease_end: self.takeover_time.after(worker.lease_left),
                    tasks: worker.tasks.into_iter().collect(),
                };
                (worker.name, runs)
            })
            .collect();
        self
    }

    /// Returns the unreachable workers to publish for a successor.
    ///
    /// Omits workers beyond the limits of a heartbeat; a successor then waits for all leases of their
    /// pools. Also omits a worker whose runs are not all known, unless the previous owner published the
    /// tasks that may run on it.
    #[must_use]
    pub fn unreachable_workers(&self, now: TimePoint) -> Vec<UnreachableWorker> {
        let mut rows = Vec::new();
        for (key, entry) in &self.workers {
            let name = &entry.report.name;
            let mut tasks: HashSet<TaskName> = entry.runs.keys().map(|(task, _)| *task).collect();
            tasks.extend(self.unread_tasks(key));
            let is_known = !self.may_lack_runs(entry, now);
            let lease_end = match self.inherited_unreachable.get(name) {
                _ if is_known && !entry.is_unreachable() => continue,
                _ if is_known => self.latest_end(key),
                Some(inherited) => {
                    tasks.extend(&inherited.tasks);
                    if entry.is_list_cut {
                        inherited.lease_end.max(self.latest_end(key))
                    } else {
                        inherited.lease_end
                    }
                }
                None => continue,
            };
            rows.push(UnreachableWorker {
                name: name.clone(),
                tasks: tasks.into_iter().collect(),
                lease_left: lease_end.since(now),
            });
        }
        let unlisted = self.inherited_unreachable.iter();
        let unlisted = unlisted
            .filter(|(name, runs)| now < runs.lease_end && !self.keys_by_name.contains_key(*name));
        rows.extend(unlisted.map(|(name, runs)| UnreachableWorker {
            name: name.clone(),
            tasks: runs.tasks.iter().copied().collect(),
            lease_left: runs.lease_end.since(now),
        }));
        let mut tasks = 0;
        rows.truncate(MAX_PUBLISHED_WORKERS);
        rows.retain(|row| {
            let fits = tasks + row.tasks.len() <= MAX_PUBLISHED_TASKS;
            tasks += if fits { row.tasks.len() } else { 0 };
            fits
        });
        rows
    }

    /// Whether a worker may have runs of a previous owner, or ends of such runs, that no list has shown.
    /// Ends on a later page of a list count until the lease of the worker has expired.
    pub(super) fn may_lack_runs(&self, entry: &WorkerEntry, now: TimePoint) -> bool {
        let lease_end = if entry.is_list_cut {
            self.inherited_lease_end.max(entry.lease_end)
        } else {
            self.inherited_lease_end
        };
        !entry.is_list_whole && now < lease_end
    }

    /// Records the workers that the inventory shows as up, with their pools.
    ///
    /// Workers that first appear in a later inventory run no tasks of a previous owner.
    pub fn note_inventory(&mut self, up: HashMap<InstanceName, PoolName>) {
        match &mut self.inherited_workers {
            Some(inherited) => inherited.retain(|name, _| up.contains_key(name)),
            None => self.inherited_workers = Some(up),
        }
    }

    /// Whether a worker of the pool may be up although the list no longer has it, for example
    /// because its entry expired while the store was unavailable, and the previous owner published
    /// nothing about it.
    pub(super) fn may_have_unlisted_worker(&self, pool: &PoolName) -> bool {
        let Some(inherited) = &self.inherited_workers else {
            return true;
        };
        inherited.iter().any(|(name, worker_pool)| {
            worker_pool == pool
                && !self.keys_by_name.contains_key(name)
                && !self.inherited_unreachable.contains_key(name)
        })
    }

    /// Marks the workers that a publication shows as unreachable, before it is stored.
    pub fn note_publishing(&mut self, published: &[UnreachableWorker]) {
        for entry in self.workers.values_mut() {
            let mut names = published.iter().map(|worker| &worker.name);
            entry.is_published |= names.any(|name| *name == entry.report.name);
        }
    }

    /// Marks exactly the workers that the stored publication shows as unreachable.
    pub fn note_published(&mut self, published: &[UnreachableWorker]) {
        for entry in self.workers.values_mut() {
            let mut names = published.iter().map(|worker| &worker.name);
            entry.is_published = names.any(|name| *name == entry.report.name);
        }
    }

    /// Whether a stored publication may show the worker as unreachable. The lease of such a worker
    /// is not extended.
    #[must_use]
    pub fn is_published(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|entry| entry.is_published)
    }
}
