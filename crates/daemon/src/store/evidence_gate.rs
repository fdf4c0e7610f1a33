use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use sesamedeal_core::evidence::{
    EvidencePolicy, EvidenceTracker, EvidenceVerdict, PauseDetector, PeerEvidence, check_evidence,
};
use sesamedeal_core::exchange::ExchangeMessage;
use sesamedeal_core::ids::{Generation, SessionId};
use sesamedeal_core::time::TimePoint;

use super::FleetView;
use crate::clock::ProcessClock;
use crate::dispatch::EvidenceFlag;

/// Time after which a silent peer is forgotten.
const PEER_LIFETIME: Duration = Duration::from_secs(60);

/// Time after a pause within which the messages that came in during the pause have been read.
const BACKLOG_TIME: Duration = Duration::from_secs(1);

/// Time for which a verdict has to hold. It is twice the time between two judgements.
const JUDGE_AHEAD: Duration = Duration::from_millis(200);

#[derive(Debug, Clone, Copy)]
struct PeerEntry {
    heard: TimePoint,
    evidence: Option<TimePoint>,
    generation: Generation,
}

#[derive(Debug, Default)]
struct GateState {
    tracker: EvidenceTracker,
    pause: PauseDetector,
    resumed: Option<TimePoint>,
    peers: BTreeMap<SessionId, PeerEntry>,
}

/// Tells whether the state in force is current enough for work that needs a key.
#[derive(Debug, Clone)]
pub(crate) struct EvidenceGate {
    session: SessionId,
    policy: EvidencePolicy,
    clock: ProcessClock,
    view: FleetView,
    flag: EvidenceFlag,
    state: Arc<Mutex<GateState>>,
}

impl EvidenceGate {
    pub(crate) fn new(
        session: SessionId,
        max_age: Duration,
        clock: ProcessClock,
        view: FleetView,
        flag: EvidenceFlag,
    ) -> Self {
        Self {
            session,
            policy: EvidencePolicy { max_age },
            clock,
            view,
            flag,
            state: Arc::default(),
        }
    }

    /// Takes note of an own read of the head that was sent at `sent`.
    pub(crate) fn note_read(&self, head: Generation, sent: TimePoint) {
        self.state.lock().tracker.record_head(head, sent);
        self.judge();
    }

    /// Takes note that the state in force has this generation.
    pub(crate) fn record_applied(&self, generation: Generation) {
        self.state.lock().tracker.record_applied(generation);
        self.judge();
    }

    /// Takes note of a timer tick; returns whether the process was paused before it.
    pub(crate) fn tick(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let is_paused = state.tracker.tick(now);
        state.pause.tick(now);
        if is_paused {
            state.peers.clear();
            state.resumed = Some(now);
        }
        is_paused
    }

    /// Whether messages that are read now may have waited while the process was paused.
    pub(crate) fn was_paused(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.lock();
        let is_recent = |resumed| now.since(resumed) < BACKLOG_TIME;
        state.pause.is_paused(now) || state.resumed.is_some_and(is_recent)
    }

    /// Takes in a peer's answer to a request that was sent at `sent`.
    ///
    /// Only answers count: a peer's own request may have waited in a socket while this process
    /// was paused, and its ages would be wrong by the length of the pause.
    pub(crate) fn note_answer(&self, message: &ExchangeMessage, sent: TimePoint) {
        let mut state = self.state.lock();
        let state = &mut *state;
        for (session, entry) in heard_in(message, sent) {
            if session == self.session {
                continue;
            }
            if let Some(at) = entry.evidence {
                state.tracker.record_head(entry.generation, at);
            }
            let known = state.peers.entry(session).or_insert(entry);
            if known.heard < entry.heard {
                *known = entry;
            }
        }
        state
            .peers
            .retain(|_, entry| sent.since(entry.heard) < PEER_LIFETIME);
    }

    /// Age of the newest evidence for the state in force.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.state.lock().tracker.age(self.clock.now())
    }

    /// Highest generation that a peer acts under, with the peer.
    pub(crate) fn newest_peer(&self) -> Option<(SessionId, Generation)> {
        let state = self.state.lock();
        let newest = state.peers.iter().max_by_key(|(_, entry)| entry.generation);
        newest.map(|(session, entry)| (*session, entry.generation))
    }

    /// Passes the verdict on to the request path. It has to hold until the next time, so that
    /// there is no gap when a verdict of another kind follows.
    pub(crate) fn judge(&self) -> EvidenceVerdict {
        let now = self.clock.now();
        let verdict = self.verdict_at(now.after(JUDGE_AHEAD));
        self.flag.set(verdict.allows_work(), now);
        verdict
    }

    /// Whether work that needs a key may be accepted and dispatched now.
    pub(crate) fn verdict(&self) -> EvidenceVerdict {
        self.verdict_at(self.clock.now())
    }

    /// The verdict at a point if nothing new is heard until then.
    fn verdict_at(&self, now: TimePoint) -> EvidenceVerdict {
        let state = self.state.lock();
        let age = state.tracker.age(now);
        if age.is_some_and(|age| age < self.policy.max_age) {
            return EvidenceVerdict::Current;
        }
        let peers: Vec<PeerEvidence> = state
            .peers
            .iter()
            .map(|(session, entry)| PeerEvidence {
                session: *session,
                heard: now.since(entry.heard),
                evidence: entry.evidence.map(|at| now.since(at)),
                generation: entry.generation,
            })
            .collect();
        let fleet = self.view.load();
        check_evidence(
            &self.policy,
            self.session,
            fleet.generation,
            age,
            &fleet.view,
            &peers,
        )
    }
}

/// What a message tells about its sender.
fn heard_in(
    message: &ExchangeMessage,
    sent: TimePoint,
) -> impl Iterator<Item = (SessionId, PeerEntry)> {
    let sender = PeerEntry {
        heard: sent,
        evidence: message.evidence_age.map(|age| before(sent, age)),
        generation: message.applied,
    };
    let relayed = message.heard.iter().map(move |record| {
        let entry = PeerEntry {
            heard: before(sent, record.age),
            evidence: record.evidence_age.map(|age| before(sent, age)),
            generation: record.generation,
        };
        (record.session, entry)
    });
    std::iter::once((message.from, sender)).chain(relayed)
}

fn before(point: TimePoint, age: Duration) -> TimePoint {
    TimePoint::new(point.since_origin().saturating_sub(age))
}
