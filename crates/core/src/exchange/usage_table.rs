use std::collections::BTreeMap;
use std::time::Duration;

use super::{AgedPoint, FlowReading, OriginUsage, OwnUsage, UsageSummary, origin_hash};
use crate::ids::SessionId;
use crate::time::TimePoint;

/// Maximum number of entries in one message, which keeps a whole message below 64 KB.
const MAX_ENTRIES: usize = 1_000;

/// Maximum number of peers with stored state.
const MAX_PEERS: usize = 2_000;

/// Maximum number of origins whose versions are listed in one message.
const MAX_LISTED_ORIGINS: usize = 1_000;

/// Time without a new version after which an origin's usage is removed. By then it has decayed to
/// 1.6%.
const RETENTION: Duration = Duration::from_secs(60);

/// Minimum time between two version lists. Regular exchanges are further apart, and extra exchanges
/// serve loans.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(400);

/// Usage versions of one peer.
#[derive(Debug, Default)]
struct PeerUsage {
    /// Version of this entry instance's summary that the peer is assumed to have.
    own_version: u64,
    /// Versions that the peer listed and that are still unanswered.
    listed: Option<BTreeMap<u32, u64>>,
}

/// Newest usage of each origin.
#[derive(Debug)]
pub(crate) struct UsageTable {
    /// Pair hashes by position of the flow.
    pub(crate) pairs: Vec<u32>,
    pub(crate) origins: BTreeMap<u32, OriginUsage>,
    own: OwnUsage,
    own_version: u64,
    peers: BTreeMap<SessionId, PeerUsage>,
    listed_at: Option<TimePoint>,
    /// Time constant of the decay of usage, in seconds.
    decay_s: f64,
}

impl UsageTable {
    /// Creates a table without usage. `decay_s` is the time constant of the decay in seconds.
    pub(crate) fn new(decay_s: f64) -> Self {
        Self {
            pairs: Vec::new(),
            origins: BTreeMap::new(),
            own: OwnUsage::default(),
            own_version: 0,
            peers: BTreeMap::new(),
            listed_at: None,
            decay_s,
        }
    }

    /// Updates the summary of this entry instance.
    pub(crate) fn update_own(&mut self, own: SessionId, readings: &[FlowReading], now: TimePoint) {
        let usage = self.origins.entry(origin_hash(own)).or_insert_with(|| {
            // Version numbers continue after the usage was removed.
            let created = AgedPoint::new(Duration::ZERO, now);
            OriginUsage::with_version(self.own_version, created, self.decay_s)
        });
        self.own.update(usage, readings, now);
        self.own_version = usage.version;
    }

    /// Stores a summary. Returns whether it was newer than the stored one and could be applied.
    pub(crate) fn record_summary(&mut self, summary: &UsageSummary, now: TimePoint) -> bool {
        let created = AgedPoint::new(summary.age, now);
        let usage = self.origins.entry(summary.origin);
        let decay_s = self.decay_s;
        let usage = usage.or_insert_with(|| OriginUsage::with_version(0, created, decay_s));
        usage.version < summary.version && usage.apply(summary, now)
    }

    /// Stores the versions that a peer listed. The next message to the peer contains newer ones.
    pub(crate) fn record_listed(
        &mut self,
        own: SessionId,
        peer: SessionId,
        listed: &BTreeMap<u32, u64>,
    ) {
        let entry = self.peer(peer);
        entry.own_version = listed.get(&origin_hash(own)).copied().unwrap_or(0);
        entry.listed = Some(listed.clone());
    }

    /// Returns the versions of all origins, which a peer answers with newer summaries. Empty if the
    /// last list is recent or a list from this peer is still unanswered.
    pub(crate) fn list(&mut self, peer: SessionId, now: TimePoint) -> BTreeMap<u32, u64> {
        let is_recent = self
            .listed_at
            .is_some_and(|at| now.since(at) < MIN_LIST_INTERVAL);
        let peer = self.peers.get(&peer);
        if is_recent || peer.is_some_and(|peer| peer.listed.is_some()) {
            return BTreeMap::new();
        }
        self.listed_at = Some(now);
        let origins = self.origins.iter().filter(|(_, usage)| usage.version > 0);
        let versions = origins.map(|(origin, usage)| (*origin, usage.version));
        versions.take(MAX_LISTED_ORIGINS).collect()
    }

    /// Returns the summaries for a peer: all that are newer than the versions that it listed, or
    /// only this entry instance's summary if it listed none. Relaying other summaries without a
    /// list would repeat what the peer received from others.
    pub(crate) fn relay(
        &mut self,
        own: SessionId,
        peer: SessionId,
        now: TimePoint,
    ) -> Vec<UsageSummary> {
        self.origins
            .retain(|_, usage| usage.created.age(now) < RETENTION);
        let entry = self.peer(peer);
        let listed = entry.listed.take();
        let known_version = entry.own_version;
        let (mut remaining, mut sent) = (MAX_ENTRIES, known_version);
        let mut summaries = Vec::new();
        for (origin, usage) in &self.origins {
            let is_own = *origin == origin_hash(own);
            let version = match &listed {
                _ if is_own => known_version,
                Some(listed) => listed.get(origin).copied().unwrap_or(0),
                None => continue,
            };
            if *origin == origin_hash(peer) || version >= usage.version {
                continue;
            }
            let base = usage.can_build_on(version).then_some(version);
            let entries = usage.entries_after(base);
            if entries.len() > remaining {
                continue;
            }
            remaining -= entries.len();
            if is_own {
                sent = usage.version;
            }
            summaries.push(UsageSummary {
                origin: *origin,
                version: usage.version,
                steps: base.map_or(0, |base| usage.version - base),
                age: usage.created.age(now),
                pairs: usage.pairs_after(base),
                entries,
            });
        }
        self.peer(peer).own_version = sent;
        summaries
    }

    fn peer(&mut self, peer: SessionId) -> &mut PeerUsage {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer) {
            // Dropping a peer's state costs one repeated transmission.
            self.peers.clear();
        }
        self.peers.entry(peer).or_default()
    }
}
