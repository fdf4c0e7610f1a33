//! Choice of the worker for a task.
//!
//! Load pattern: the turn of a surge, in which a pool is nearly full of tasks of several sizes and
//! then empties within seconds. Tasks that end take the fullest worker that has room: room for the
//! next large task stays in one piece, a worker that fails what it runs is empty and gets little,
//! and the other workers empty soon and can follow the demand to other pools. Tasks that last are
//! packed by memory for the same reason, on instances that do not wait for maintenance.

use super::ResourceAmount;

/// A worker that may run a task.
#[derive(Debug, Clone, Copy)]
pub struct WorkerOffer<K> {
    /// Its key.
    pub key: K,
    /// What it has left.
    pub room: ResourceAmount,
    /// What it has in all.
    pub capacity: ResourceAmount,
    /// Whether it is on the rack with the data, or on the rack of the step's other tasks.
    pub is_near: bool,
    /// Whether it is on trial after failures.
    pub is_on_trial: bool,
    /// Whether its instance waits for maintenance.
    pub is_maintenance_due: bool,
}

/// Chooses among `offers`; none if no worker has room.
pub fn choose_worker<K: Copy>(
    amount: ResourceAmount,
    is_lasting: bool,
    offers: impl Iterator<Item = WorkerOffer<K>>,
) -> Option<K> {
    let fitting = offers.filter(|offer| amount.fits(offer.room));
    let best = fitting.min_by(|one, other| {
        let order = one.is_on_trial.cmp(&other.is_on_trial);
        let order = order.then(
            (is_lasting && one.is_maintenance_due).cmp(&(is_lasting && other.is_maintenance_due)),
        );
        let order = order.then(other.is_near.cmp(&one.is_near));
        order.then(cost(is_lasting, one).total_cmp(&cost(is_lasting, other)))
    });
    best.map(|offer| offer.key)
}

#[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
fn cost<K>(is_lasting: bool, offer: &WorkerOffer<K>) -> f64 {
    if is_lasting {
        return offer.room.memory_mb as f64 / offer.capacity.memory_mb.max(1) as f64;
    }
    offer.room.cpu_millis as f64 / offer.capacity.cpu_millis.max(1) as f64
}
