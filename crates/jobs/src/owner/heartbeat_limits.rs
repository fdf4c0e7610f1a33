//! Limits of the parts of a heartbeat, which together stay below the limit of a row.

use serde::Serialize;
use sesamedeal_wire::codec;

use crate::row_codec::HeartbeatRow;

/// Maximum size of the unreachable workers, in bytes. Ten of them with 120 tasks each take 30 KB.
const MAX_UNREACHABLE_BYTES: usize = 36 * 1024;

/// Maximum size of the counts of waiting jobs, in bytes. A queue with a name of 16 bytes takes 20.
const MAX_PENDING_BYTES: usize = 14 * 1024;

/// Maximum size of the overloaded queues, in bytes.
const MAX_OVERLOAD_BYTES: usize = 6 * 1024;

/// Maximum size of the times of the surges, in bytes. A pool with a name of 16 bytes takes 26.
const MAX_SURGE_BYTES: usize = 4 * 1024;

/// Number of entries that were left out of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HeartbeatCut {
    pub workers: usize,
    pub queues: usize,
    pub overloads: usize,
    pub pools: usize,
}

impl HeartbeatCut {
    pub(super) const fn is_empty(self) -> bool {
        self.workers + self.queues + self.overloads + self.pools == 0
    }
}

impl HeartbeatRow {
    /// Leaves out what exceeds the limits. A successor waits for the leases of the workers that are left
    /// out, and the number of waiting jobs of the queues is unknown.
    pub(super) fn limit_size(&mut self) -> HeartbeatCut {
        self.pending.sort_unstable();
        let cut = HeartbeatCut {
            workers: limit_size(&mut self.out_of_reach, MAX_UNREACHABLE_BYTES),
            queues: limit_size(&mut self.pending, MAX_PENDING_BYTES),
            overloads: limit_size(&mut self.overloads, MAX_OVERLOAD_BYTES),
            pools: limit_size(&mut self.surges_ms, MAX_SURGE_BYTES),
        };
        self.is_pending_partial |= cut.queues > 0;
        cut
    }
}

/// Keeps the first entries that take at most `limit` bytes together, and returns how many were left
/// out.
fn limit_size<T: Serialize>(entries: &mut Vec<T>, limit: usize) -> usize {
    let mut left = limit;
    let before = entries.len();
    entries.retain(|entry| {
        let size = codec::encode(entry, left).map(|encoded| encoded.len());
        left -= size.as_ref().map_or(0, |size| *size);
        size.is_ok()
    });
    before - entries.len()
}
