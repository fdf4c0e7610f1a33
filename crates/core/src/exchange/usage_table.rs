use std::collections::BTreeMap;
use std::time::Duration;

use super::{AgedPoint, UsageEntry, UsageSummary};
use crate::ids::SessionId;
use crate::scheduler::FlowIndex;
use crate::time::TimePoint;

/// Most entries in one message; with the other parts of a message, this stays below 64 KB.
const MAX_ENTRIES: usize = 1_000;

/// Most peers of which the known versions are kept.
const MAX_KNOWN: usize = 2_000;

/// Time after which a silent origin's usage is forgotten. By then it has decayed to 1.6%.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Newest summary of one origin.
#[derive(Debug)]
pub(crate) struct OriginUsage {
    pub(crate) version: u64,
    pub(crate) made: AgedPoint,
    pub(crate) entries: Vec<(UsageEntry, Option<FlowIndex>)>,
}

/// Newest summaries by origin, and the versions that each peer is known to have.
#[derive(Debug, Default)]
pub(crate) struct UsageTable {
    pub(crate) origins: BTreeMap<SessionId, OriginUsage>,
    known: BTreeMap<SessionId, BTreeMap<SessionId, u64>>,
}

impl UsageTable {
    /// Enters a summary that `peer` sent. Returns whether it is news.
    pub(crate) fn note(
        &mut self,
        peer: SessionId,
        summary: &UsageSummary,
        now: TimePoint,
        mut flow: impl FnMut(&UsageEntry) -> Option<FlowIndex>,
    ) -> bool {
        let seen = self.known.entry(peer).or_default();
        let version = seen.entry(summary.origin).or_default();
        *version = (*version).max(summary.version);
        if self
            .origins
            .get(&summary.origin)
            .is_some_and(|known| known.version >= summary.version)
        {
            return false;
        }
        let usage = OriginUsage {
            version: summary.version,
            made: AgedPoint::new(summary.age, now),
            entries: summary
                .entries
                .iter()
                .map(|entry| (*entry, flow(entry)))
                .collect(),
        };
        self.origins.insert(summary.origin, usage);
        true
    }

    /// Summaries that `peer` is not known to have. A lost message is made up for by the next
    /// version of the origin.
    pub(crate) fn relay(&mut self, peer: SessionId, now: TimePoint) -> Vec<UsageSummary> {
        self.origins
            .retain(|_, usage| usage.made.age(now) < FORGET_AFTER);
        let origins = &self.origins;
        if self.known.len() > MAX_KNOWN {
            // Forgetting what a peer has costs one repetition.
            self.known.clear();
        }
        let known = self.known.entry(peer).or_default();
        known.retain(|origin, _| origins.contains_key(origin));
        let mut left = MAX_ENTRIES;
        let mut summaries = Vec::new();
        for (origin, usage) in &self.origins {
            let version = known.entry(*origin).or_default();
            if *origin == peer || *version >= usage.version || usage.entries.len() > left {
                continue;
            }
            left -= usage.entries.len();
            *version = usage.version;
            summaries.push(UsageSummary {
                origin: *origin,
                version: usage.version,
                age: usage.made.age(now),
                entries: usage.entries.iter().map(|(entry, _)| *entry).collect(),
            });
        }
        summaries
    }
}
