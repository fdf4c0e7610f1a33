use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Answer to `GET /dev/counters`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreCounters {
    /// Reads and scans of the table.
    pub table_reads: u64,
    /// Writes of the table.
    pub table_writes: u64,
    /// Reads and lists of objects.
    pub object_reads: u64,
    /// Writes and removals of objects.
    pub object_writes: u64,
    /// Reads of the instance list.
    pub list_reads: u64,
    /// Most table reads within one second.
    pub peak_table_reads: u64,
    /// Most table writes within one second.
    pub peak_table_writes: u64,
    /// Most object reads within one second.
    pub peak_object_reads: u64,
    /// Most object writes within one second.
    pub peak_object_writes: u64,
    /// Calls refused beyond the rate limits.
    pub refused: u64,
    /// Bytes of calls and answers, with the heads of the messages.
    pub bytes: u64,
}

/// Calls per second that the table and the object store each accept; 0 is without a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RateLimits {
    /// Reads per second.
    pub reads: u64,
    /// Writes per second.
    pub writes: u64,
}

/// Kind of a call, as far as rates are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadKind {
    TableRead,
    TableWrite,
    ObjectRead,
    ObjectWrite,
    ListRead,
}

/// Counts calls in total and per second since the start.
#[derive(Debug, Default)]
pub(crate) struct StoreLoad {
    pub(crate) limits: RateLimits,
    pub(crate) counters: StoreCounters,
    start: Option<Instant>,
    second: u64,
    /// Calls of the current second by kind.
    current: [u64; 5],
}

impl StoreLoad {
    /// Counts a call; false if it exceeds the rate limit.
    pub(crate) fn count(&mut self, kind: LoadKind, now: Instant) -> bool {
        let start = *self.start.get_or_insert(now);
        let second = (now - start).as_secs();
        if second != self.second {
            self.second = second;
            self.current = [0; 5];
        }
        let limit = match kind {
            LoadKind::TableRead | LoadKind::ObjectRead => self.limits.reads,
            LoadKind::TableWrite | LoadKind::ObjectWrite => self.limits.writes,
            LoadKind::ListRead => 0,
        };
        let rate = &mut self.current[kind as usize];
        if limit > 0 && *rate >= limit {
            self.counters.refused += 1;
            return false;
        }
        *rate += 1;
        let rate = *rate;
        let counters = &mut self.counters;
        let (total, peak) = match kind {
            LoadKind::TableRead => (&mut counters.table_reads, &mut counters.peak_table_reads),
            LoadKind::TableWrite => (&mut counters.table_writes, &mut counters.peak_table_writes),
            LoadKind::ObjectRead => (&mut counters.object_reads, &mut counters.peak_object_reads),
            LoadKind::ObjectWrite => (
                &mut counters.object_writes,
                &mut counters.peak_object_writes,
            ),
            LoadKind::ListRead => {
                counters.list_reads += 1;
                return true;
            }
        };
        *total += 1;
        *peak = (*peak).max(rate);
        true
    }
}
