use std::collections::BTreeMap;

use super::{AgedPoint, PairSlot, UsageEntry, UsageSummary};
use crate::queue::UsageMeter;
use crate::scheduler::FlowIndex;
use crate::time::TimePoint;

/// Usage in slot seconds below which an entry without slots and backlog is left out.
const MIN_USAGE_S: f64 = 0.01;

/// Entries without content that are kept before all of them are removed.
const MAX_EMPTY: usize = 64;

/// Usage of one pair as of the newest version of its origin.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OriginEntry {
    /// Hash of the pair.
    pub(crate) pair: u32,
    /// Version up to which the entry may be new.
    born: u64,
    /// Version up to which the entry may have changed.
    pub(crate) version: u64,
    /// Usage in slot seconds.
    pub(crate) usage: f64,
    /// Slots held on average.
    pub(crate) rate: f64,
    pub(crate) queued: u32,
    /// The flow, unless this entry instance does not know the pool or the team yet.
    pub(crate) flow: Option<FlowIndex>,
}

impl OriginEntry {
    fn is_empty(&self) -> bool {
        self.queued == 0 && self.rate == 0.0 && self.usage < MIN_USAGE_S
    }
}

/// Newest version of the usage at one origin.
#[derive(Debug)]
pub(crate) struct OriginUsage {
    pub(crate) version: u64,
    pub(crate) created: AgedPoint,
    /// Oldest version on which a list of changes can build.
    floor: u64,
    /// Time constant of the decay of usage, in seconds.
    pub(crate) decay_s: f64,
    /// By number of the pair.
    pub(crate) entries: BTreeMap<u32, OriginEntry>,
}

impl OriginUsage {
    /// Creates usage without entries as of a version.
    pub(crate) fn with_version(version: u64, created: AgedPoint, decay_s: f64) -> Self {
        Self {
            version,
            created,
            floor: version,
            decay_s,
            entries: BTreeMap::new(),
        }
    }

    /// Whether all entries are without content.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.values().all(OriginEntry::is_empty)
    }

    /// Whether entries that changed after `version` are enough for a receiver that has it.
    pub(crate) const fn can_follow(&self, version: u64) -> bool {
        version > 0 && version >= self.floor
    }

    /// Starts a version whose entries so far are brought forward to `created`.
    pub(crate) fn advance(&mut self, version: u64, created: AgedPoint, now: TimePoint) {
        let elapsed = self.created.age(now).saturating_sub(created.age(now));
        for entry in self.entries.values_mut() {
            entry.usage = UsageMeter::project(entry.usage, entry.rate, self.decay_s, elapsed);
        }
        self.version = version;
        self.created = created;
    }

    /// Removes the entries without content when there are many. Only the origin does, because
    /// receivers are not told the pairs of their entries again.
    pub(crate) fn prune(&mut self) {
        let empty = self.entries.values().filter(|entry| entry.is_empty());
        if empty.count() > MAX_EMPTY {
            self.entries.retain(|_, entry| !entry.is_empty());
            self.floor = self.version;
        }
    }

    /// Enters one entry of the newest version, with its pair if it may be new.
    pub(crate) fn put(&mut self, entry: &UsageEntry, pair: Option<u32>) {
        let old = self.entries.get(&entry.slot);
        let Some(pair) = old.map(|old| old.pair).or(pair) else {
            return;
        };
        let newest = OriginEntry {
            pair,
            born: old.map_or(self.version, |old| old.born),
            version: self.version,
            usage: entry.usage_s(),
            rate: entry.rate_slots(),
            queued: entry.queued,
            flow: old.and_then(|old| old.flow),
        };
        self.entries.insert(entry.slot, newest);
    }

    /// Takes in a newer summary. Returns false if it builds on a version that is missing here.
    pub(crate) fn take(&mut self, summary: &UsageSummary, now: TimePoint) -> bool {
        match summary.base() {
            Some(base) if base > self.version => return false,
            Some(_) => {}
            None => {
                self.entries.clear();
                self.floor = summary.version;
            }
        }
        let created = AgedPoint::new(summary.age, now);
        self.advance(summary.version, created, now);
        let pairs = summary.pairs.iter().map(|pair| (pair.slot, pair.pair));
        let pairs: BTreeMap<u32, u32> = pairs.collect();
        for entry in &summary.entries {
            self.put(entry, pairs.get(&entry.slot).copied());
        }
        true
    }

    /// Entries that changed after version `base`, or all of them.
    pub(crate) fn after(&self, base: Option<u64>) -> Vec<UsageEntry> {
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, entry)| base.is_none_or(|base| entry.version > base));
        entries
            .map(|(slot, entry)| UsageEntry::new(*slot, entry.usage, entry.rate, entry.queued))
            .collect()
    }

    /// Pairs of the entries that are new after version `base`, or of all of them.
    pub(crate) fn pairs_after(&self, base: Option<u64>) -> Vec<PairSlot> {
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, entry)| base.is_none_or(|base| entry.born > base));
        let pairs = entries.map(|(slot, entry)| (*slot, entry.pair));
        pairs.map(|(slot, pair)| PairSlot { slot, pair }).collect()
    }

    /// Entries whose flow is not known.
    pub(crate) fn unresolved(&mut self) -> impl Iterator<Item = &mut OriginEntry> {
        let entries = self.entries.values_mut();
        entries.filter(|entry| entry.flow.is_none())
    }
}
