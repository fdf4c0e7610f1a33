use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::PoolName;
use crate::time::TimePoint;

/// Minimum time between the starts of two surges. Pools whose demand rises together count as one
/// surge.
const MIN_PERIOD: Duration = Duration::from_secs(2);

/// Start times of the pools' last surges, used to predict the next surge.
#[derive(Debug, Default)]
pub(super) struct SurgeClock {
    starts: BTreeMap<PoolName, TimePoint>,
}

impl SurgeClock {
    pub(super) fn record_start(&mut self, pool: &PoolName, at: TimePoint) {
        self.starts.insert(pool.clone(), at);
    }

    /// Returns when the last surge of each pool started.
    pub(super) const fn starts(&self) -> &BTreeMap<PoolName, TimePoint> {
        &self.starts
    }

    /// Returns when the next surge is due, or `None` before two surges have started. Surges follow
    /// each other at a steady period, which is the median gap between their starts.
    pub(super) fn next_due(&self) -> Option<TimePoint> {
        let mut starts: Vec<TimePoint> = self.starts.values().copied().collect();
        starts.sort_unstable();
        let gaps = starts.windows(2).map(|pair| pair[1].since(pair[0]));
        let mut gaps: Vec<Duration> = gaps.filter(|gap| *gap >= MIN_PERIOD).collect();
        gaps.sort_unstable();
        let period = gaps.get(gaps.len() / 2)?;
        Some(starts.last()?.after(*period))
    }
}
