use std::collections::{HashSet, VecDeque};

use super::JobId;

/// Jobs whose records are not stored yet: those that have ended first, then in the order in which
/// they changed.
#[derive(Debug, Default)]
pub(super) struct RecordQueue {
    members: HashSet<JobId>,
    ended: VecDeque<JobId>,
    changed: VecDeque<JobId>,
}

impl RecordQueue {
    /// Adds a job that has changed, or moves it to those that have ended.
    pub(super) fn insert(&mut self, id: JobId, has_ended: bool) {
        let is_new = self.members.insert(id);
        if has_ended {
            self.ended.push_back(id);
        } else if is_new {
            self.changed.push_back(id);
        }
    }

    /// Takes the next job. Of a job that is in both orders, the later entry is left out.
    pub(super) fn pop(&mut self) -> Option<JobId> {
        while let Some(id) = self.ended.pop_front().or_else(|| self.changed.pop_front()) {
            if self.members.remove(&id) {
                return Some(id);
            }
        }
        None
    }

    pub(super) fn contains(&self, id: &JobId) -> bool {
        self.members.contains(id)
    }

    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
