use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::PoolName;
use crate::time::TimePoint;

/// Least time between the begins of two surges. Pools that rise together belong to one turn.
const LEAST_PERIOD: Duration = Duration::from_secs(2);

/// Times at which the pools began to surge last, and when the next surge is due.
#[derive(Debug, Default)]
pub(super) struct SurgeClock {
    begins: BTreeMap<PoolName, TimePoint>,
}

impl SurgeClock {
    pub(super) fn record_start(&mut self, pool: &PoolName, at: TimePoint) {
        self.begins.insert(pool.clone(), at);
    }

    /// When each pool began to surge last.
    pub(super) const fn begins(&self) -> &BTreeMap<PoolName, TimePoint> {
        &self.begins
    }

    /// When the next surge is due, if two have begun: they follow each other at a steady period.
    pub(super) fn next_due(&self) -> Option<TimePoint> {
        let mut begins: Vec<TimePoint> = self.begins.values().copied().collect();
        begins.sort_unstable();
        let gaps = begins.windows(2).map(|pair| pair[1].since(pair[0]));
        let mut gaps: Vec<Duration> = gaps.filter(|gap| *gap >= LEAST_PERIOD).collect();
        gaps.sort_unstable();
        let period = gaps.get(gaps.len() / 2)?;
        Some(begins.last()?.after(*period))
    }
}
