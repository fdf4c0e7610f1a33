use std::collections::{HashSet, VecDeque};

use super::JobId;

/// Queue of jobs whose records are not stored yet: ended jobs first, then changed jobs, each in the
/// order of insertion.
#[derive(Debug, Default)]
pub(super) struct RecordQueue {
    members: HashSet<JobId>,
    ended: VecDeque<JobId>,
    changed: VecDeque<JobId>,
}

impl RecordQueue {
    /// Adds a changed job, or moves a queued one to the ended jobs if it has ended.
    pub(super) fn insert(&mut self, id: JobId, has_ended: bool) {
        let is_new = self.members.insert(id);
        if has_ended {
            self.ended.push_back(id);
        } else if is_new {
            self.changed.push_back(id);
        }
    }

    /// Removes and returns the first job for which `is_writable` is true; other jobs keep their
    /// positions. The second entry of a job that is in both queues is dropped.
    pub(super) fn pop(&mut self, is_writable: impl Fn(JobId) -> bool) -> Option<JobId> {
        for queue in [&mut self.ended, &mut self.changed] {
            let members = &self.members;
            while queue.pop_front_if(|id| !members.contains(id)).is_some() {}
            let is_next = |id: &JobId| members.contains(id) && is_writable(*id);
            if let Some(position) = queue.iter().position(is_next) {
                let id = queue.remove(position)?;
                self.members.remove(&id);
                return Some(id);
            }
        }
        None
    }

    /// Puts a job that was taken back to the front of its queue.
    pub(super) fn put_back(&mut self, id: JobId, has_ended: bool) {
        if !self.members.insert(id) {
            return;
        }
        if has_ended {
            self.ended.push_front(id);
        } else {
            self.changed.push_front(id);
        }
    }

    pub(super) fn remove(&mut self, id: JobId) {
        self.members.remove(&id);
    }

    /// Returns the number of jobs for which `is_writable` is true.
    pub(super) fn count_writable(&self, is_writable: impl Fn(JobId) -> bool) -> usize {
        self.members.iter().filter(|id| is_writable(**id)).count()
    }

    pub(super) fn contains(&self, id: &JobId) -> bool {
        self.members.contains(id)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}
