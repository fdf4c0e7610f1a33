use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::jobs::WorkerKey;
use sesamedeal_core::time::TimePoint;
use tokio::sync::Semaphore;

/// State of the calls to one worker.
#[derive(Debug, Clone)]
pub(crate) struct WorkerLink {
    /// Fence number of the calls by this link. Later links to the worker have higher ones.
    pub fence: u64,
    pub is_calling: bool,
    /// When the next hold call is due.
    pub next_hold: TimePoint,
    /// Latest time until which the next hold call waits for ends to be stored.
    pub store_deadline: TimePoint,
    /// The worker's clock in milliseconds, and when the answer with it arrived.
    pub clock: Option<(u64, TimePoint)>,
    pub failures: u32,
    /// Limits the concurrent orders to the worker.
    pub semaphore: Arc<Semaphore>,
}

impl WorkerLink {
    /// Time since the worker's clock was read; zero if it was not.
    pub(crate) fn clock_age(&self, now: TimePoint) -> Duration {
        self.clock
            .map_or(Duration::ZERO, |(_, read)| now.since(read))
    }

    /// End of a lease of length `lease` that starts at `now`, on the worker's clock, in
    /// milliseconds.
    pub(crate) fn lease_end_ms(&self, lease: Duration, now: TimePoint) -> Option<u64> {
        let (clock_ms, read) = self.clock?;
        let passed = now.since(read) + lease;
        Some(clock_ms.saturating_add(u64::try_from(passed.as_millis()).unwrap_or(u64::MAX)))
    }
}

/// Links to all workers.
#[derive(Debug, Default)]
pub(crate) struct WorkerLinks {
    links: HashMap<WorkerKey, WorkerLink>,
}

impl WorkerLinks {
    /// Opens a new link to a worker, in place of an earlier one.
    pub(crate) fn open(&mut self, key: WorkerKey, fence: u64, max_orders: usize, now: TimePoint) {
        let link = WorkerLink {
            fence,
            is_calling: false,
            next_hold: now,
            store_deadline: now,
            clock: None,
            failures: 0,
            semaphore: Arc::new(Semaphore::new(max_orders)),
        };
        self.links.insert(key, link);
    }

    pub(crate) fn get(&self, key: WorkerKey) -> Option<&WorkerLink> {
        self.links.get(&key)
    }

    /// The link to a worker, unless it was replaced since the one with this fence number.
    pub(crate) fn current(&mut self, key: WorkerKey, fence: u64) -> Option<&mut WorkerLink> {
        let link = self.links.get_mut(&key)?;
        (link.fence == fence).then_some(link)
    }

    /// Whether calls to a worker carry this fence number.
    pub(crate) fn is_current(&self, key: WorkerKey, fence: u64) -> bool {
        self.get(key).is_some_and(|link| link.fence == fence)
    }

    pub(crate) fn remove(&mut self, key: WorkerKey) {
        self.links.remove(&key);
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (WorkerKey, &mut WorkerLink)> {
        self.links.iter_mut().map(|(key, link)| (*key, link))
    }
}
