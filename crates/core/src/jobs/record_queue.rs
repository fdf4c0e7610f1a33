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

    /// Takes the next job that `is_writable` admits; the others keep their places. Of a job that is in
    /// both orders, the later entry is left out.
    pub(super) fn pop(&mut self, is_writable: impl Fn(JobId) -> bool) -> Option<JobId> {
        for order in [&mut self.ended, &mut self.changed] {
            let members = &self.members;
            while order.pop_front_if(|id| !members.contains(id)).is_some() {}
            let is_next = |id: &JobId| members.contains(id) && is_writable(*id);
            if let Some(place) = order.iter().position(is_next) {
                let id = order.remove(place)?;
                self.members.remove(&id);
                return Some(id);
            }
        }
        None
    }

    /// Jobs that `is_writable` admits.
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
