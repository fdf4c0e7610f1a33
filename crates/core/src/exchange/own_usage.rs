use std::time::Duration;

use super::{AgedPoint, OriginEntry, OriginUsage, UsageEntry};
use crate::queue::UsageMeter;
use crate::time::TimePoint;

/// Maximum time between two versions while there is work. Peers treat an origin as idle after 3 s
/// without a new version, and a version may be relayed up to three times before it arrives.
const MAX_VERSION_AGE: Duration = Duration::from_secs(1);

/// Maximum number of entries in a summary; flows with the highest usage take precedence.
const MAX_SUMMARY_ENTRIES: usize = 300;

/// Usage deviation below which no update is published: absolute in slot seconds, and relative.
///
/// With a relative tolerance of 0.02, shares did not stay within 5% because the deviations of
/// several entry instances add up.
const USAGE_TOLERANCE: (f64, f64) = (0.1, 0.0);

/// Deviation of the rate and of the backlog below which no update is published: absolute, and
/// relative. Both determine how a team's share is divided among the entry instances, but not its
/// size.
const DEMAND_TOLERANCE: (f64, f64) = (1.0, 0.25);

/// Minimum weight of the newest average in the smoothed rate. Peers extrapolate usage by the rate,
/// so noise in the rate soon makes the extrapolated usage deviate again.
const MIN_GAIN: f64 = 0.2;

/// Deviation of the newest average above which smoothing of the rate restarts: absolute in slots,
/// and relative.
const RATE_RESET_DEVIATION: (f64, f64) = (0.5, 0.2);

/// Rate in slots below which an idle flow's rate is set to zero.
const MIN_RATE: f64 = 0.05;

/// Current usage and backlog of one flow at this entry instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FlowReading {
    pub(crate) pair: u32,
    /// Usage in slot seconds.
    pub(crate) usage: f64,
    pub(crate) held: u32,
    pub(crate) queued: u32,
}

#[derive(Debug, Clone, Copy)]
struct FlowRate {
    usage: f64,
    rate: f64,
    /// Number of averages since smoothing of the rate restarted.
    count: f64,
}

/// Determines which usage of this entry instance is published to peers.
#[derive(Debug, Default)]
pub(crate) struct OwnUsage {
    /// Rates by position of the flow.
    rates: Vec<FlowRate>,
    last_update: TimePoint,
}

impl OwnUsage {
    /// Creates a version with the entries that deviate from the peers' extrapolation. Creates none
    /// if no entry deviates and the last version is recent or all entries are empty.
    pub(crate) fn update(
        &mut self,
        own: &mut OriginUsage,
        readings: &[FlowReading],
        now: TimePoint,
    ) {
        self.update_rates(readings, own.decay_s, now);
        let min_usage = min_summary_usage(readings);
        let age = own.created.age(now);
        let mut changes = Vec::new();
        for ((slot, reading), rate) in (0..).zip(readings).zip(&self.rates) {
            let entry = if reading.usage < min_usage {
                UsageEntry::new(slot, 0.0, 0.0, 0)
            } else {
                UsageEntry::new(slot, reading.usage, rate.rate, reading.queued)
            };
            let published = own.entries.get(&slot);
            if needs_update(&entry, published, own.decay_s, age) {
                changes.push((entry, reading.pair));
            }
        }
        if changes.is_empty() && (own.is_empty() || age < MAX_VERSION_AGE) {
            return;
        }
        let version = own.version + 1;
        own.advance(version, AgedPoint::new(Duration::ZERO, now), now);
        own.prune();
        for (entry, pair) in &changes {
            own.record_entry(entry, Some(*pair));
        }
    }

    /// Updates the smoothed rates.
    fn update_rates(&mut self, readings: &[FlowReading], decay_s: f64, now: TimePoint) {
        let elapsed = now.since(self.last_update);
        self.last_update = now;
        for (position, reading) in readings.iter().enumerate() {
            let usage = reading.usage;
            let Some(flow) = self.rates.get_mut(position) else {
                let rate = f64::from(reading.held);
                let count = 0.0;
                self.rates.push(FlowRate { usage, rate, count });
                continue;
            };
            let average = UsageMeter::average(flow.usage, usage, decay_s, elapsed);
            let average = average.unwrap_or(flow.rate);
            if deviates(average, flow.rate, RATE_RESET_DEVIATION) {
                flow.count = 0.0;
            }
            let count = flow.count + 1.0;
            let rate = flow.rate + (average - flow.rate) * MIN_GAIN.max(1.0 / count);
            let is_idle = rate < MIN_RATE && reading.held == 0;
            let (rate, count) = if is_idle { (0.0, 0.0) } else { (rate, count) };
            *flow = FlowRate { usage, rate, count };
        }
    }
}

/// Returns the lowest usage that still fits into a summary.
fn min_summary_usage(readings: &[FlowReading]) -> f64 {
    if readings.len() <= MAX_SUMMARY_ENTRIES {
        return 0.0;
    }
    let mut usages: Vec<f64> = readings.iter().map(|reading| reading.usage).collect();
    usages.sort_by(|one, other| other.total_cmp(one));
    usages[MAX_SUMMARY_ENTRIES - 1]
}

/// Whether an entry deviates from the peers' extrapolation of the published one.
fn needs_update(
    entry: &UsageEntry,
    published: Option<&OriginEntry>,
    decay_s: f64,
    age: Duration,
) -> bool {
    let (usage, rate, queued) = published.map_or((0.0, 0.0, 0), |published| {
        let usage = UsageMeter::project(published.usage, published.rate, decay_s, age);
        (usage, published.rate, published.queued)
    });
    (entry.queued == 0) != (queued == 0)
        || deviates(entry.usage_s(), usage, USAGE_TOLERANCE)
        || deviates(entry.rate_slots(), rate, DEMAND_TOLERANCE)
        || deviates(f64::from(entry.queued), f64::from(queued), DEMAND_TOLERANCE)
}

fn deviates(value: f64, published: f64, (absolute, relative): (f64, f64)) -> bool {
    (value - published).abs() > absolute + relative * value.max(published)
}
