use std::time::Duration;

use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_core::time::TimePoint;

use super::owner_rows::OwnerRows;
use crate::BootClock;

/// Delay before a smaller instance takes a vacant ownership. Much larger instances take it within
/// 0.3 s, unless the store is slow.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// Delays the takeover of a vacant ownership so that much larger instances can go first.
#[derive(Debug, Default)]
pub(super) struct TakeoverDelay {
    vacant: Option<VacantEpoch>,
}

/// Epoch whose ownership is vacant.
#[derive(Debug)]
struct VacantEpoch {
    epoch: u64,
    since: TimePoint,
}

impl TakeoverDelay {
    /// Whether an instance of capacity `own` may take the vacant ownership.
    pub(super) fn has_passed(&mut self, rows: &OwnerRows, own: InstanceCapacity) -> bool {
        let Some((row, _)) = &rows.epoch else {
            return true;
        };
        if !own.is_much_smaller_than(row.largest) {
            return true;
        }
        let now = BootClock.now();
        let known = self
            .vacant
            .take()
            .filter(|vacant| vacant.epoch == row.epoch);
        let vacant = known.unwrap_or(VacantEpoch {
            epoch: row.epoch,
            since: now,
        });
        let has_passed = now.since(vacant.since) >= TAKEOVER_DELAY;
        self.vacant = Some(vacant);
        has_passed
    }
}
