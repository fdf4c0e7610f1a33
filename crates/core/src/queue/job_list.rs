use crate::scheduler::{JobKey, JobTable};

/// Previous and next job in the queue of a job.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct JobLinks {
    before: Option<JobKey>,
    after: Option<JobKey>,
}

/// Queue of jobs as a doubly linked list. The links are in the job records, so that any job can be
/// removed in O(1).
#[derive(Debug, Default)]
pub(crate) struct JobList {
    first: Option<JobKey>,
    last: Option<JobKey>,
}

impl JobList {
    /// First job of the queue.
    pub(crate) fn first(&self) -> Option<JobKey> {
        self.first
    }

    /// Adds a job at the end.
    pub(crate) fn push_back(&mut self, key: JobKey, jobs: &mut JobTable) {
        jobs[key].links = JobLinks {
            before: self.last,
            after: None,
        };
        match self.last {
            Some(last) => jobs[last].links.after = Some(key),
            None => self.first = Some(key),
        }
        self.last = Some(key);
    }

    /// Adds a job at the front.
    pub(crate) fn push_front(&mut self, key: JobKey, jobs: &mut JobTable) {
        jobs[key].links = JobLinks {
            before: None,
            after: self.first,
        };
        match self.first {
            Some(first) => jobs[first].links.before = Some(key),
            None => self.last = Some(key),
        }
        self.first = Some(key);
    }

    /// Removes a job, which must be in this queue.
    pub(crate) fn remove(&mut self, key: JobKey, jobs: &mut JobTable) {
        let links = std::mem::take(&mut jobs[key].links);
        match links.before {
            Some(before) => jobs[before].links.after = links.after,
            None => self.first = links.after,
        }
        match links.after {
            Some(after) => jobs[after].links.before = links.before,
            None => self.last = links.before,
        }
    }
}
