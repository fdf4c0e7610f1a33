//! Workers out of reach, and what a successor has to know of them.

use std::collections::{HashMap, HashSet};

use super::JobDispatcher;
use crate::ids::{InstanceName, PoolName};
use crate::jobs::{TaskName, UnreachableWorker, WorkerKey};
use crate::time::TimePoint;

/// What may run on a worker that an earlier owner could not reach.
#[derive(Debug, Clone)]
pub(super) struct UnreachedRuns {
    /// When the last lease there has passed.
    pub until: TimePoint,
    pub tasks: HashSet<TaskName>,
}

impl JobDispatcher {
    /// Takes over what the earlier owner published of workers out of its reach.
    #[must_use]
    pub fn with_unreachable_workers(mut self, published: Vec<UnreachableWorker>) -> Self {
        let published = published.into_iter();
        self.out_of_reach = published
            .map(|worker| {
                let runs = UnreachedRuns {
                    until: self.taken.after(worker.lease_left),
                    tasks: worker.tasks.into_iter().collect(),
                };
                (worker.name, runs)
            })
            .collect();
        self
    }

    /// Workers out of reach, for a successor.
    ///
    /// A worker that has not answered this owner is left out unless the earlier owner has published
    /// what may run on it.
    #[must_use]
    pub fn unreachable_workers(&self, now: TimePoint) -> Vec<UnreachableWorker> {
        let is_over = now >= self.inherited_until;
        let mut rows = Vec::new();
        for entry in self.workers.values() {
            let name = &entry.report.name;
            let mut tasks: HashSet<TaskName> = entry.runs.keys().map(|(task, _)| *task).collect();
            let is_known = entry.list_requested.is_some() || is_over;
            let until = match self.out_of_reach.get(name) {
                _ if is_known && !entry.is_unreachable() => continue,
                _ if is_known => entry.lease_end,
                Some(inherited) => {
                    tasks.extend(&inherited.tasks);
                    inherited.until
                }
                None => continue,
            };
            rows.push(UnreachableWorker {
                name: name.clone(),
                tasks: tasks.into_iter().collect(),
                lease_left: until.since(now),
            });
        }
        let gone = self.out_of_reach.iter();
        let gone = gone.filter(|(name, runs)| now < runs.until && !self.names.contains_key(*name));
        rows.extend(gone.map(|(name, runs)| UnreachableWorker {
            name: name.clone(),
            tasks: runs.tasks.iter().copied().collect(),
            lease_left: runs.until.since(now),
        }));
        rows
    }

    /// Notes the workers that the inventory shows as up, with their pools.
    ///
    /// Workers that came later run nothing of an earlier owner.
    pub fn note_inventory(&mut self, up: HashMap<InstanceName, PoolName>) {
        match &mut self.expected {
            Some(expected) => expected.retain(|name, _| up.contains_key(name)),
            None => self.expected = Some(up),
        }
    }

    /// Whether a worker of the pool may be up that the list has dropped, for example while the
    /// store was away, and of which the earlier owner has published nothing.
    pub(super) fn misses_worker(&self, pool: &PoolName) -> bool {
        let Some(expected) = &self.expected else {
            return true;
        };
        expected.iter().any(|(name, expected)| {
            expected == pool
                && !self.names.contains_key(name)
                && !self.out_of_reach.contains_key(name)
        })
    }

    /// Notes which workers a publication that is about to be stored shows as out of reach.
    pub fn note_publishing(&mut self, published: &[UnreachableWorker]) {
        for entry in self.workers.values_mut() {
            let mut names = published.iter().map(|worker| &worker.name);
            entry.is_published |= names.any(|name| *name == entry.report.name);
        }
    }

    /// Notes which workers the stored publication shows as out of reach.
    pub fn note_published(&mut self, published: &[UnreachableWorker]) {
        for entry in self.workers.values_mut() {
            let mut names = published.iter().map(|worker| &worker.name);
            entry.is_published = names.any(|name| *name == entry.report.name);
        }
    }

    /// Whether a stored publication may show a worker as out of reach. Its lease is not extended.
    #[must_use]
    pub fn is_published(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_some_and(|entry| entry.is_published)
    }
}
