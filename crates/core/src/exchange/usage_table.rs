use std::collections::BTreeMap;
use std::time::Duration;

use super::{AgedPoint, FlowReading, OriginUsage, OwnUsage, UsageSummary, origin_hash};
use crate::ids::SessionId;
use crate::time::TimePoint;

/// Most entries in one message; with the other parts of a message, this stays below 64 KB.
const MAX_ENTRIES: usize = 1_000;

/// Most peers of which something is kept.
const MAX_PEERS: usize = 2_000;

/// Most origins whose versions are listed in one message.
const MAX_LISTED: usize = 1_000;

/// Time after which a silent origin's usage is forgotten. By then it has decayed to 1.6%.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Shortest time between two lists of the own versions. The regular exchanges are further apart,
/// and the extra ones are for loans.
const LIST_GAP: Duration = Duration::from_millis(400);

/// What is known of one peer.
#[derive(Debug, Default)]
struct PeerUsage {
    /// Version of this entry instance's summary that the peer is taken to have.
    own: u64,
    /// Versions that the peer listed and got no answer to.
    listed: Option<BTreeMap<u32, u64>>,
}

/// Newest usage by origin.
#[derive(Debug)]
pub(crate) struct UsageTable {
    /// Hashes of the pairs by position of the flow.
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

    /// Brings the summary of this entry instance up to date.
    pub(crate) fn update_own(&mut self, own: SessionId, readings: &[FlowReading], now: TimePoint) {
        let usage = self.origins.entry(origin_hash(own)).or_insert_with(|| {
            // Versions go on where they were when the usage was forgotten.
            let created = AgedPoint::new(Duration::ZERO, now);
            OriginUsage::with_version(self.own_version, created, self.decay_s)
        });
        self.own.update(usage, readings, now);
        self.own_version = usage.version;
    }

    /// Enters a summary. Returns whether it is news.
    pub(crate) fn record_summary(&mut self, summary: &UsageSummary, now: TimePoint) -> bool {
        let created = AgedPoint::new(summary.age, now);
        let usage = self.origins.entry(summary.origin);
        let decay_s = self.decay_s;
        let usage = usage.or_insert_with(|| OriginUsage::with_version(0, created, decay_s));
        usage.version < summary.version && usage.take(summary, now)
    }

    /// Enters the versions that a peer listed; the next message to it has what is newer.
    pub(crate) fn record_listed(
        &mut self,
        own: SessionId,
        peer: SessionId,
        listed: &BTreeMap<u32, u64>,
    ) {
        let entry = self.peer(peer);
        entry.own = listed.get(&origin_hash(own)).copied().unwrap_or(0);
        entry.listed = Some(listed.clone());
    }

    /// Versions of all origins, for a peer to answer with what is newer; empty when the last list
    /// is recent, or when the peer's list is to be answered.
    pub(crate) fn list(&mut self, peer: SessionId, now: TimePoint) -> BTreeMap<u32, u64> {
        let is_recent = self.listed_at.is_some_and(|at| now.since(at) < LIST_GAP);
        let peer = self.peers.get(&peer);
        if is_recent || peer.is_some_and(|peer| peer.listed.is_some()) {
            return BTreeMap::new();
        }
        self.listed_at = Some(now);
        let origins = self.origins.iter().filter(|(_, usage)| usage.version > 0);
        let versions = origins.map(|(origin, usage)| (*origin, usage.version));
        versions.take(MAX_LISTED).collect()
    }

    /// Summaries for a peer: all that are newer than what it listed, or the one of this entry
    /// instance. Relaying without a list would repeat what the peer got from others.
    pub(crate) fn relay(
        &mut self,
        own: SessionId,
        peer: SessionId,
        now: TimePoint,
    ) -> Vec<UsageSummary> {
        self.origins
            .retain(|_, usage| usage.created.age(now) < FORGET_AFTER);
        let entry = self.peer(peer);
        let listed = entry.listed.take();
        let known = entry.own;
        let (mut left, mut sent) = (MAX_ENTRIES, known);
        let mut summaries = Vec::new();
        for (origin, usage) in &self.origins {
            let is_own = *origin == origin_hash(own);
            let version = match &listed {
                _ if is_own => known,
                Some(listed) => listed.get(origin).copied().unwrap_or(0),
                None => continue,
            };
            if *origin == origin_hash(peer) || version >= usage.version {
                continue;
            }
            let base = usage.can_follow(version).then_some(version);
            let entries = usage.after(base);
            if entries.len() > left {
                continue;
            }
            left -= entries.len();
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
        self.peer(peer).own = sent;
        summaries
    }

    fn peer(&mut self, peer: SessionId) -> &mut PeerUsage {
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&peer) {
            // Forgetting what a peer has costs one repetition.
            self.peers.clear();
        }
        self.peers.entry(peer).or_default()
    }
}
