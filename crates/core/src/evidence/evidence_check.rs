use std::collections::BTreeSet;
use std::time::Duration;

use crate::fleet::SessionView;
use crate::ids::{Generation, SessionId};

/// Age limit for evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvidencePolicy {
    /// Age below which evidence of the head and summaries of peers are current.
    ///
    /// A revoked key must stop working within 3 s. With one read per second, 2.5 s tolerates one
    /// failed read and leaves 0.5 s for the dispatch.
    pub max_age: Duration,
}

impl EvidencePolicy {
    /// Creates the default policy, 2.5 s.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            max_age: Duration::from_millis(2_500),
        }
    }
}

impl Default for EvidencePolicy {
    fn default() -> Self {
        Self::new()
    }
}

/// Result of the evidence check for work that needs a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvidenceVerdict {
    /// The state is current.
    Current,
    /// The store is considered unavailable to all entry instances; work continues under the newest
    /// known state.
    StoreDown,
    /// The state is not known to be current; work is rejected as not run (code 1013).
    Stale,
}

impl EvidenceVerdict {
    /// Whether work that needs a key may be accepted and dispatched.
    #[must_use]
    pub const fn allows_work(self) -> bool {
        matches!(self, Self::Current | Self::StoreDown)
    }
}

/// Evidence of one peer, received directly or through a relayed summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerEvidence {
    /// The peer.
    pub session: SessionId,
    /// Age of its newest summary, including the time before it was relayed.
    pub heard: Duration,
    /// Age of its newest evidence of the head, if it has any.
    pub evidence: Option<Duration>,
    /// Generation of the head in the evidence, or the peer's applied generation if higher.
    pub generation: Generation,
}

/// Decides whether work that needs a key may be accepted and dispatched.
///
/// `age` is the age of this entry instance's evidence that its applied `generation` is the head, or
/// `None` if it has no evidence, for example after a pause.
#[must_use]
pub fn check_evidence(
    policy: &EvidencePolicy,
    own: SessionId,
    generation: Generation,
    age: Option<Duration>,
    view: &SessionView,
    peers: &[PeerEvidence],
) -> EvidenceVerdict {
    let Some(age) = age else {
        return EvidenceVerdict::Stale;
    };
    if age < policy.max_age {
        return EvidenceVerdict::Current;
    }
    let heard: Vec<&PeerEvidence> = peers
        .iter()
        .filter(|peer| peer.session != own && peer.heard < policy.max_age)
        .collect();
    if heard.iter().any(|peer| peer.generation > generation) {
        return EvidenceVerdict::Stale;
    }
    let is_newer = |peer: &&PeerEvidence| peer.evidence.is_some_and(|other| other < age);
    let members: BTreeSet<SessionId> = heard
        .iter()
        .map(|peer| peer.session)
        .chain([own])
        .filter(|&session| view.contains(session))
        .collect();
    let has_majority = 2 * members.len() > view.sessions.len();
    if has_majority && !heard.iter().any(is_newer) {
        EvidenceVerdict::StoreDown
    } else {
        EvidenceVerdict::Stale
    }
}
