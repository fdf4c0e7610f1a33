//! Workers out of reach, and what a successor has to know of them.

use std::collections::HashSet;

use super::JobDispatcher;
use crate::ids::InstanceName;
use crate::jobs::TaskName;
use crate::time::TimePoint;

impl JobDispatcher {
    /// Takes over what the earlier owner published of workers out of its reach.
    #[must_use]
    pub fn with_out_of_reach(mut self, published: Vec<(InstanceName, Vec<TaskName>)>) -> Self {
        let published = published.into_iter();
        self.out_of_reach = published
            .map(|(name, tasks)| (name, tasks.into_iter().collect()))
            .collect();
        self
    }

    /// Workers out of reach, and all tasks that may run on them, for a successor.
    ///
    /// A worker that has not answered this owner is left out unless the earlier owner has published
    /// what may run on it.
    #[must_use]
    pub fn out_of_reach(&self, now: TimePoint) -> Vec<(InstanceName, Vec<TaskName>)> {
        let is_over = now >= self.inherited_until;
        let mut rows = Vec::new();
        for entry in self.workers.values() {
            let name = &entry.report.name;
            let mut tasks: HashSet<TaskName> = entry.runs.keys().map(|(task, _)| *task).collect();
            let is_known = entry.held.is_some() || is_over;
            match self.out_of_reach.get(name) {
                _ if is_known && !entry.is_out_of_reach() => continue,
                _ if is_known => {}
                Some(inherited) => tasks.extend(inherited),
                None => continue,
            }
            rows.push((name.clone(), tasks.into_iter().collect()));
        }
        if !is_over {
            let gone = self.out_of_reach.iter();
            let gone = gone.filter(|(name, _)| !self.names.contains_key(*name));
            rows.extend(gone.map(|(name, tasks)| (name.clone(), tasks.iter().copied().collect())));
        }
        rows
    }

    /// Notes which workers a stored publication shows as out of reach.
    pub fn note_published(&mut self, published: &[(InstanceName, Vec<TaskName>)]) {
        for entry in self.workers.values_mut() {
            let mut names = published.iter().map(|(name, _)| name);
            entry.is_published = names.any(|name| *name == entry.report.name);
        }
    }
}
