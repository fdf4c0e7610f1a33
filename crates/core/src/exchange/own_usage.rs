use std::time::Duration;

use super::{AgedPoint, OriginEntry, OriginUsage, UsageEntry};
use crate::queue::UsageMeter;
use crate::time::TimePoint;

/// Longest time between two versions while there is work. Peers take an origin that is silent for
/// 3 s to be without work, and a version is relayed up to three times on its way.
const RENEW_AFTER: Duration = Duration::from_secs(1);

/// Most entries of a summary; the flows with the most usage go first.
const MAX_SUMMARY: usize = 300;

/// Deviation of the usage that is not told to peers: slot seconds, and a part of the usage. A part
/// of 0.02 was not enough for shares within 5%: the deviations of several entry instances add up.
const TOLERATED_USAGE: (f64, f64) = (0.1, 0.0);

/// Deviation of the rate and of the backlog that is not told to peers: a number, and a part. They
/// decide how a team's due is divided among the entry instances, not how much it gets.
const TOLERATED_DEMAND: (f64, f64) = (1.0, 0.25);

/// Least part of the newest average in the rate. Peers extrapolate usage by the rate, so that noise
/// in it makes usage deviate again soon.
const MIN_GAIN: f64 = 0.2;

/// Deviation from which on an average starts the rate anew: slots, and a part of the rate.
const NEW_RATE: (f64, f64) = (0.5, 0.2);

/// Rate that is taken for none.
const MIN_RATE: f64 = 0.05;

/// What one flow is like at this entry instance.
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
    /// Averages since the rate was started.
    count: f64,
}

/// What peers are told of the usage at this entry instance.
#[derive(Debug, Default)]
pub(crate) struct OwnUsage {
    /// By position of the flow.
    rates: Vec<FlowRate>,
    read: TimePoint,
}

impl OwnUsage {
    /// Starts a version with the entries that deviate from what peers take them to be. There is
    /// none while nothing deviates and the last one is recent.
    pub(crate) fn update(
        &mut self,
        own: &mut OriginUsage,
        readings: &[FlowReading],
        now: TimePoint,
    ) {
        self.read_rates(readings, own.decay_s, now);
        let least = least_usage(readings);
        let age = own.created.age(now);
        let mut news = Vec::new();
        for ((slot, reading), rate) in (0..).zip(readings).zip(&self.rates) {
            let entry = if reading.usage < least {
                UsageEntry::new(slot, 0.0, 0.0, 0)
            } else {
                UsageEntry::new(slot, reading.usage, rate.rate, reading.queued)
            };
            let told = own.entries.get(&slot);
            if is_news(&entry, told, own.decay_s, age) {
                news.push((entry, reading.pair));
            }
        }
        if news.is_empty() && (own.is_empty() || age < RENEW_AFTER) {
            return;
        }
        let version = own.version + 1;
        own.advance(version, AgedPoint::new(Duration::ZERO, now), now);
        own.prune();
        for (entry, pair) in &news {
            own.put(entry, Some(*pair));
        }
    }

    /// Brings the average rates up to date.
    fn read_rates(&mut self, readings: &[FlowReading], decay_s: f64, now: TimePoint) {
        let elapsed = now.since(self.read);
        self.read = now;
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
            if deviates(average, flow.rate, NEW_RATE) {
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

/// Usage of the last flow that fits into a summary.
fn least_usage(readings: &[FlowReading]) -> f64 {
    if readings.len() <= MAX_SUMMARY {
        return 0.0;
    }
    let mut usages: Vec<f64> = readings.iter().map(|reading| reading.usage).collect();
    usages.sort_by(|one, other| other.total_cmp(one));
    usages[MAX_SUMMARY - 1]
}

/// Whether an entry deviates from what the peers take it to be.
fn is_news(entry: &UsageEntry, told: Option<&OriginEntry>, decay_s: f64, age: Duration) -> bool {
    let (usage, rate, queued) = told.map_or((0.0, 0.0, 0), |told| {
        let usage = UsageMeter::project(told.usage, told.rate, decay_s, age);
        (usage, told.rate, told.queued)
    });
    (entry.queued == 0) != (queued == 0)
        || deviates(entry.usage_s(), usage, TOLERATED_USAGE)
        || deviates(entry.rate_slots(), rate, TOLERATED_DEMAND)
        || deviates(f64::from(entry.queued), f64::from(queued), TOLERATED_DEMAND)
}

fn deviates(value: f64, told: f64, (number, part): (f64, f64)) -> bool {
    (value - told).abs() > number + part * value.max(told)
}
