use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::{CompactString, ToCompactString};
use parking_lot::Mutex;
use sesamedeal_core::fleet::SessionView;
use sesamedeal_core::ids::SessionId;
use sesamedeal_wire::peer::PeerAddress;

/// Most entry instances outside the view that are remembered.
const MAX_OUTSIDERS: usize = 64;

/// Addresses of the other entry instances.
#[derive(Debug)]
pub(crate) struct PeerTable {
    own: SessionId,
    seeds: Vec<SocketAddr>,
    known: Mutex<BTreeMap<SessionId, CompactString>>,
}

impl PeerTable {
    /// Creates a table that knows the addresses from the settings only.
    pub(crate) fn new(own: SessionId, seeds: Vec<SocketAddr>) -> Self {
        Self {
            own,
            seeds,
            known: Mutex::default(),
        }
    }

    /// Takes note of where a session is reached.
    pub(crate) fn note(&self, session: SessionId, address: &CompactString) {
        if session != self.own {
            self.known.lock().insert(session, address.clone());
        }
    }

    pub(crate) fn note_all(&self, peers: &[PeerAddress]) {
        for peer in peers {
            self.note(peer.session, &peer.address);
        }
    }

    /// Forgets sessions outside the view when there are too many of them.
    pub(crate) fn trim(&self, view: &SessionView) {
        let mut known = self.known.lock();
        if known.len() > view.sessions.len() + MAX_OUTSIDERS {
            known.retain(|session, _| view.contains(*session));
        }
    }

    /// Forgets a session that does not answer and is not in the view.
    pub(crate) fn drop_outsider(&self, session: SessionId, view: &SessionView) {
        if !view.contains(session) {
            self.known.lock().remove(&session);
        }
    }

    pub(crate) fn address(&self, session: SessionId) -> Option<CompactString> {
        self.known.lock().get(&session).cloned()
    }

    /// Whether the address of each session of the view is known.
    pub(crate) fn covers(&self, view: &SessionView) -> bool {
        let known = self.known.lock();
        let mut sessions = view.sessions.iter();
        sessions.all(|session| *session == self.own || known.contains_key(session))
    }

    /// All known addresses, those from the settings included.
    pub(crate) fn addresses(&self) -> Vec<CompactString> {
        let known: Vec<CompactString> = self.known.lock().values().cloned().collect();
        let seeds = self.seeds.iter().map(ToCompactString::to_compact_string);
        let seeds: Vec<CompactString> = seeds.filter(|seed| !known.contains(seed)).collect();
        known.into_iter().chain(seeds).collect()
    }

    pub(crate) fn entries(&self) -> Vec<PeerAddress> {
        let known = self.known.lock();
        let entries = known.iter().map(|(session, address)| PeerAddress {
            session: *session,
            address: address.clone(),
        });
        entries.collect()
    }

    /// The session after `last` in rotation.
    pub(crate) fn next_after(&self, last: SessionId) -> Option<SessionId> {
        let known = self.known.lock();
        let after = (std::ops::Bound::Excluded(last), std::ops::Bound::Unbounded);
        let next = known.range(after).next().or_else(|| known.iter().next());
        next.map(|(session, _)| *session)
    }
}
