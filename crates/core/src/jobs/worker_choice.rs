//! Choice of the worker for a task.
//!
//! Load pattern: a demand surge in which a pool is nearly full of tasks of various sizes and then
//! empties within seconds. Batch tasks go to the fullest worker with enough free capacity (best
//! fit). This avoids fragmentation, so that large tasks still fit; a worker that fails its tasks is
//! empty and therefore gets few; and the other workers become idle soon and can move to pools with
//! demand. Long-running tasks are packed by memory for the same reason, preferably on instances
//! that do not wait for maintenance.

use super::ResourceAmount;

/// Worker that may run a task.
#[derive(Debug, Clone, Copy)]
pub struct WorkerOffer<K> {
    /// Key of the worker.
    pub key: K,
    /// Free capacity.
    pub room: ResourceAmount,
    /// Total capacity.
    pub capacity: ResourceAmount,
    /// Whether the worker is on the rack that holds the data or runs the step's other tasks.
    pub is_near: bool,
    /// Whether the worker is on trial after a quarantine.
    pub is_on_trial: bool,
    /// Whether the worker is still slow after its start.
    pub is_cold: bool,
    /// Whether the worker's instance waits for maintenance.
    pub is_maintenance_due: bool,
}

/// Number of classes of workers, see [`WorkerOffer::class`].
pub(crate) const WORKER_CLASSES: u8 = 8;

impl<K> WorkerOffer<K> {
    /// Class of the worker; those of a lower class are preferred.
    pub(crate) const fn class(&self, is_lasting: bool) -> u8 {
        let is_leaving = is_lasting && self.is_maintenance_due;
        (self.is_on_trial as u8) << 2 | (self.is_cold as u8) << 1 | is_leaving as u8
    }
}

/// Returns the key of the best worker in `offers`, or `None` if the task fits on none of them.
pub fn choose_worker<K: Copy>(
    amount: ResourceAmount,
    is_lasting: bool,
    offers: impl Iterator<Item = WorkerOffer<K>>,
) -> Option<K> {
    let fitting = offers.filter(|offer| amount.fits(offer.room));
    let best = fitting.min_by(|left, right| {
        let order = left.class(is_lasting).cmp(&right.class(is_lasting));
        let order = order.then(right.is_near.cmp(&left.is_near));
        let free = |offer: &WorkerOffer<K>| free_fraction(is_lasting, offer.room, offer.capacity);
        order.then(free(left).total_cmp(&free(right)))
    });
    best.map(|offer| offer.key)
}

/// Returns the free fraction of the resource that the tasks are packed by.
#[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
pub(crate) fn free_fraction(
    is_lasting: bool,
    room: ResourceAmount,
    capacity: ResourceAmount,
) -> f64 {
    if is_lasting {
        return room.memory_mb as f64 / capacity.memory_mb.max(1) as f64;
    }
    room.cpu_millis as f64 / capacity.cpu_millis.max(1) as f64
}
