use std::time::Duration;

use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_core::time::TimePoint;

use super::owner_rows::OwnerRows;
use crate::BootClock;

/// Time for which a free ownership is left to much larger instances. They take it within 0.3 s,
/// unless the store is slow.
const DEFERENCE_TIME: Duration = Duration::from_secs(1);

/// How long a free ownership has been left to larger instances.
#[derive(Debug, Default)]
pub(super) struct Deference {
    free: Option<FreeEpoch>,
}

/// An epoch whose ownership is free.
#[derive(Debug)]
struct FreeEpoch {
    epoch: u64,
    since: TimePoint,
}

impl Deference {
    /// Whether an instance may take the ownership, which is free.
    pub(super) fn is_over(&mut self, rows: &OwnerRows, own: InstanceCapacity) -> bool {
        let Some((row, _)) = &rows.epoch else {
            return true;
        };
        if !own.is_much_smaller_than(row.largest) {
            return true;
        }
        let now = BootClock.now();
        let known = self.free.take().filter(|free| free.epoch == row.epoch);
        let free = known.unwrap_or(FreeEpoch {
            epoch: row.epoch,
            since: now,
        });
        let is_over = now.since(free.since) >= DEFERENCE_TIME;
        self.free = Some(free);
        is_over
    }
}
