use serde::{Deserialize, Serialize};

use crate::ids::SessionId;

/// Sessions of entry instances among which worker slots and team permits are divided.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionView {
    /// Sessions in ascending order.
    pub sessions: Vec<SessionId>,
}

impl SessionView {
    /// Creates a view from sessions in any order; duplicates are removed.
    #[must_use]
    pub fn new(mut sessions: Vec<SessionId>) -> Self {
        sessions.sort_unstable();
        sessions.dedup();
        Self { sessions }
    }

    /// Whether the session is in the view.
    #[must_use]
    pub fn contains(&self, session: SessionId) -> bool {
        self.sessions.binary_search(&session).is_ok()
    }
}
