use crate::scheduler::{JobKey, JobTable};

/// Neighbours of a job in its queue.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct JobLinks {
    before: Option<JobKey>,
    after: Option<JobKey>,
}

/// Queue of jobs, linked through the jobs' records so that any job leaves it in O(1).
#[derive(Debug, Default)]
pub(crate) struct JobList {
    first: Option<JobKey>,
    last: Option<JobKey>,
}

impl JobList {
    /// The job that is next.
    pub(crate) fn first(&self) -> Option<JobKey> {
        self.first
    }

    /// Appends a job.
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

    /// Puts a job in front.
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

    /// Takes a job out.
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
