use std::collections::BTreeMap;

use super::{AgedPoint, UsageEntry, UsageSummary};
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
    /// Creates an entry with the values that a receiver sees.
    fn new(entry: &UsageEntry, version: u64) -> Self {
        Self {
            version,
            usage: entry.usage_s(),
            rate: entry.rate_slots(),
            queued: entry.queued,
            flow: None,
        }
    }

    fn is_empty(&self) -> bool {
        self.queued == 0 && self.rate == 0.0 && self.usage < MIN_USAGE_S
    }
}

/// Newest version of the usage at one origin.
#[derive(Debug)]
pub(crate) struct OriginUsage {
    pub(crate) version: u64,
    pub(crate) made: AgedPoint,
    /// Oldest version on which a list of changes can build.
    floor: u64,
    /// Time constant of the decay of usage, in seconds.
    pub(crate) decay_s: f64,
    /// By hash of the pair.
    pub(crate) entries: BTreeMap<u32, OriginEntry>,
}

impl OriginUsage {
    /// Creates usage without entries as of a version.
    pub(crate) fn with_version(version: u64, made: AgedPoint, decay_s: f64) -> Self {
        Self {
            version,
            made,
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

    /// Starts a version whose entries so far are brought forward to `made`.
    pub(crate) fn advance(&mut self, version: u64, made: AgedPoint, now: TimePoint) {
        let elapsed = self.made.age(now).saturating_sub(made.age(now));
        for entry in self.entries.values_mut() {
            entry.usage = UsageMeter::project(entry.usage, entry.rate, self.decay_s, elapsed);
        }
        self.version = version;
        self.made = made;
        let empty = self.entries.values().filter(|entry| entry.is_empty());
        if empty.count() > MAX_EMPTY {
            self.entries.retain(|_, entry| !entry.is_empty());
            self.floor = version;
        }
    }

    /// Enters one entry of the newest version.
    pub(crate) fn put(&mut self, entry: &UsageEntry) {
        let mut newest = OriginEntry::new(entry, self.version);
        newest.flow = self.entries.get(&entry.pair).and_then(|old| old.flow);
        self.entries.insert(entry.pair, newest);
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
        let made = AgedPoint::new(summary.age, now);
        self.advance(summary.version, made, now);
        for entry in &summary.entries {
            self.put(entry);
        }
        true
    }

    /// Entries for a receiver that has version `base`, or all of them.
    pub(crate) fn after(&self, base: Option<u64>) -> Vec<UsageEntry> {
        let entries = self.entries.iter().filter(|(_, entry)| match base {
            Some(base) => entry.version > base,
            None => !entry.is_empty(),
        });
        entries
            .map(|(pair, entry)| UsageEntry::new(*pair, entry.usage, entry.rate, entry.queued))
            .collect()
    }

    /// Pairs whose flow is not known.
    pub(crate) fn unresolved(&self) -> Vec<u32> {
        let entries = self.entries.iter();
        let unresolved = entries.filter(|(_, entry)| entry.flow.is_none());
        unresolved.map(|(pair, _)| *pair).collect()
    }
}
