use std::collections::BTreeMap;

use super::{AgedPoint, PairSlot, UsageEntry, UsageSummary};
use crate::queue::UsageMeter;
use crate::scheduler::FlowIndex;
use crate::time::TimePoint;

/// Usage in slot seconds below which an entry without slots and backlog counts as empty.
const MIN_USAGE_S: f64 = 0.01;

/// Number of empty entries above which all of them are removed.
const MAX_EMPTY_ENTRIES: usize = 64;

/// Usage of one pair in the newest version of its origin.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OriginEntry {
    /// Hash of the pair.
    pub(crate) pair: u32,
    /// Latest version in which the entry may have been added.
    added: u64,
    /// Latest version in which the entry may have changed.
    pub(crate) version: u64,
    /// Usage in slot seconds.
    pub(crate) usage: f64,
    /// Average number of slots held.
    pub(crate) rate: f64,
    pub(crate) queued: u32,
    /// Flow of the pair; `None` while the pool or the team is unknown at this entry instance.
    pub(crate) flow: Option<FlowIndex>,
}

impl OriginEntry {
    fn is_empty(&self) -> bool {
        self.queued == 0 && self.rate == 0.0 && self.usage < MIN_USAGE_S
    }
}

/// Usage at one origin in its newest version.
#[derive(Debug)]
pub(crate) struct OriginUsage {
    pub(crate) version: u64,
    pub(crate) created: AgedPoint,
    /// Oldest version that can be the base of an incremental summary.
    min_base: u64,
    /// Time constant of the decay of usage, in seconds.
    pub(crate) decay_s: f64,
    /// Entries by number of the pair.
    pub(crate) entries: BTreeMap<u32, OriginEntry>,
}

impl OriginUsage {
    /// Creates usage without entries at a version.
    pub(crate) fn with_version(version: u64, created: AgedPoint, decay_s: f64) -> Self {
        Self {
            version,
            created,
            min_base: version,
            decay_s,
            entries: BTreeMap::new(),
        }
    }

    /// Whether all entries are empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.values().all(OriginEntry::is_empty)
    }

    /// Whether a receiver that has `version` can apply an incremental summary based on it.
    pub(crate) const fn can_build_on(&self, version: u64) -> bool {
        version > 0 && version >= self.min_base
    }

    /// Starts a version and extrapolates the existing entries to `created`.
    pub(crate) fn advance(&mut self, version: u64, created: AgedPoint, now: TimePoint) {
        let elapsed = self.created.age(now).saturating_sub(created.age(now));
        for entry in self.entries.values_mut() {
            entry.usage = UsageMeter::project(entry.usage, entry.rate, self.decay_s, elapsed);
        }
        self.version = version;
        self.created = created;
    }

    /// Removes the empty entries when there are many. Only the origin removes entries, because
    /// it does not send receivers the pairs of their entries again.
    pub(crate) fn prune(&mut self) {
        let empty = self.entries.values().filter(|entry| entry.is_empty());
        if empty.count() > MAX_EMPTY_ENTRIES {
            self.entries.retain(|_, entry| !entry.is_empty());
            self.min_base = self.version;
        }
    }

    /// Stores one entry of the newest version. `pair` is required if the entry may be new.
    pub(crate) fn record_entry(&mut self, entry: &UsageEntry, pair: Option<u32>) {
        let old = self.entries.get(&entry.slot);
        let Some(pair) = old.map(|old| old.pair).or(pair) else {
            return;
        };
        let newest = OriginEntry {
            pair,
            added: old.map_or(self.version, |old| old.added),
            version: self.version,
            usage: entry.usage_s(),
            rate: entry.rate_slots(),
            queued: entry.queued,
            flow: old.and_then(|old| old.flow),
        };
        self.entries.insert(entry.slot, newest);
    }

    /// Applies a newer summary. Returns `false` if its base version is newer than the stored one.
    pub(crate) fn apply(&mut self, summary: &UsageSummary, now: TimePoint) -> bool {
        match summary.base() {
            Some(base) if base > self.version => return false,
            Some(_) => {}
            None => {
                self.entries.clear();
                self.min_base = summary.version;
            }
        }
        let created = AgedPoint::new(summary.age, now);
        self.advance(summary.version, created, now);
        let pairs = summary.pairs.iter().map(|pair| (pair.slot, pair.pair));
        let pairs: BTreeMap<u32, u32> = pairs.collect();
        for entry in &summary.entries {
            self.record_entry(entry, pairs.get(&entry.slot).copied());
        }
        true
    }

    /// Returns the entries that changed after version `base`, or all entries without a base.
    pub(crate) fn entries_after(&self, base: Option<u64>) -> Vec<UsageEntry> {
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, entry)| base.is_none_or(|base| entry.version > base));
        entries
            .map(|(slot, entry)| UsageEntry::new(*slot, entry.usage, entry.rate, entry.queued))
            .collect()
    }

    /// Returns the pairs of the entries added after version `base`, or all pairs without a base.
    pub(crate) fn pairs_after(&self, base: Option<u64>) -> Vec<PairSlot> {
        let entries = self.entries.iter();
        let entries = entries.filter(|(_, entry)| base.is_none_or(|base| entry.added > base));
        let pairs = entries.map(|(slot, entry)| (*slot, entry.pair));
        pairs.map(|(slot, pair)| PairSlot { slot, pair }).collect()
    }

    /// Returns the entries whose flow is unknown.
    pub(crate) fn unresolved(&mut self) -> impl Iterator<Item = &mut OriginEntry> {
        let entries = self.entries.values_mut();
        entries.filter(|entry| entry.flow.is_none())
    }
}
