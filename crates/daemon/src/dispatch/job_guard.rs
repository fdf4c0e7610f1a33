use sesamedeal_core::scheduler::JobKey;

use super::CancelList;

/// Cancels a job when the future that waits for it is dropped.
#[derive(Debug)]
pub(crate) struct JobGuard {
    cancels: CancelList,
    job: Option<JobKey>,
}

impl JobGuard {
    pub(crate) const fn new(cancels: CancelList, job: JobKey) -> Self {
        Self {
            cancels,
            job: Some(job),
        }
    }

    /// Ends the guard without a cancellation.
    pub(crate) fn disarm(&mut self) {
        self.job = None;
    }
}

impl Drop for JobGuard {
    fn drop(&mut self) {
        if let Some(job) = self.job {
            self.cancels.add(job);
        }
    }
}
