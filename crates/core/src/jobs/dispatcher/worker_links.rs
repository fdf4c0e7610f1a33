//! Links to workers. Calls by different links carry different fence numbers, so that a call which a
//! worker carries out late has no effect once a newer link is answered.

use super::JobDispatcher;
use crate::jobs::WorkerKey;

/// Bits of a fence number that hold the number of the link; the others hold the epoch. The sum stays
/// below 2^53, up to which any JSON parser reads whole numbers, for 2^21 epochs.
const LINK_BITS: u32 = 32;

impl JobDispatcher {
    /// Fence number of calls to a worker. It is higher than that of each call to the worker by an
    /// earlier link, or of an earlier owner. A worker that was started again under its name has seen
    /// none, and takes calls that were meant for its former life until it sees this one.
    #[must_use]
    pub fn fence(&self, key: WorkerKey) -> u64 {
        let link = self.workers.get(key).map_or(0, |entry| entry.link);
        (self.epoch << LINK_BITS) + link
    }

    /// Sets up a new link to a worker.
    pub(super) fn renew_link(&mut self, key: WorkerKey) {
        self.last_link += 1;
        self.workers[key].link = self.last_link;
    }
}
