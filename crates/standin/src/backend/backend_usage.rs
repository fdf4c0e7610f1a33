use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Answer to `GET /usage`, as of some time ago.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Slot time of ended tasks in milliseconds, by `pool/team`.
    pub slot_ms: BTreeMap<CompactString, u64>,
    /// Tasks that have ended.
    pub ended: u64,
}

/// Usage of ended tasks, reported with a lag.
#[derive(Debug, Default)]
pub(crate) struct BackendUsage {
    reported: UsageReport,
    waiting: VecDeque<(Instant, CompactString, u64)>,
}

impl BackendUsage {
    pub(crate) fn add(&mut self, pool: &str, team: &str, slots: u32, ran: Duration, now: Instant) {
        let slot_ms = ran.as_millis() as u64 * u64::from(slots);
        let key = format_compact!("{pool}/{team}");
        self.waiting.push_back((now, key, slot_ms));
    }

    pub(crate) fn report(&mut self, lag: Duration, now: Instant) -> UsageReport {
        while let Some((at, _, _)) = self.waiting.front() {
            if *at + lag > now {
                break;
            }
            if let Some((_, key, slot_ms)) = self.waiting.pop_front() {
                *self.reported.slot_ms.entry(key).or_default() += slot_ms;
                self.reported.ended += 1;
            }
        }
        self.reported.clone()
    }
}
