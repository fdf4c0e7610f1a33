use std::sync::Arc;

use parking_lot::Mutex;
use sesamedeal_core::scheduler::JobKey;
use tokio::sync::Notify;

/// Jobs whose callers have gone and that the dispatcher has not removed yet.
///
/// A wave of cancellations must not fill the dispatcher's mailbox ahead of other callers, so the
/// jobs are collected here and removed in batches.
#[derive(Debug, Clone, Default)]
pub(crate) struct CancelList {
    shared: Arc<ListState>,
}

#[derive(Debug, Default)]
struct ListState {
    jobs: Mutex<Vec<JobKey>>,
    added: Notify,
}

impl CancelList {
    /// Adds a job.
    pub(crate) fn add(&self, job: JobKey) {
        self.shared.jobs.lock().push(job);
        self.shared.added.notify_one();
    }

    /// Takes at most `limit` jobs.
    pub(crate) fn take(&self, limit: usize) -> Vec<JobKey> {
        let mut jobs = self.shared.jobs.lock();
        let rest = jobs.len().saturating_sub(limit);
        jobs.split_off(rest)
    }

    /// Waits until there may be jobs.
    pub(crate) async fn wait(&self) {
        self.shared.added.notified().await;
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.shared.jobs.lock().is_empty()
    }
}
