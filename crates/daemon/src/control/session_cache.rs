use std::collections::BTreeMap;
use std::time::Duration;

use sesamedeal_core::ids::{Generation, SessionId};
use sesamedeal_core::membership::{SessionRecord, SessionState};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::rows::session_key;
use sesamedeal_store::{PlatformClient, Result};

use crate::session::session_rows;

/// Most session rows asked for by key at once. It bounds what a poll costs while many entry
/// instances have not quiesced; all of them have to, so that the order does not matter.
const MAX_ASKED: usize = 64;

/// Time between two reads of all session rows while nothing is pending. Sessions that start or
/// leave are noticed within it.
const SCAN_PERIOD: Duration = Duration::from_secs(5);

/// Time between two reads of all session rows while a generation is not settled.
const PENDING_SCAN_PERIOD: Duration = Duration::from_secs(2);

/// What a step waits for.
#[derive(Debug, Clone, Copy)]
pub(super) struct SessionWait {
    /// Generation at the head.
    pub head: Generation,
    /// Highest settled generation on record.
    pub settled: Generation,
    /// Whether the platform lists an entry instance that no known row names.
    pub has_unknown: bool,
}

/// Session rows as last read by the holder of the controller's lease.
#[derive(Debug, Default)]
pub(super) struct SessionCache {
    rows: BTreeMap<SessionId, SessionRecord>,
    scanned_at: Option<TimePoint>,
}

impl SessionCache {
    /// Session rows as last read.
    pub(super) fn records(&self) -> Vec<SessionRecord> {
        self.rows.values().cloned().collect()
    }

    /// Reads what the step at `now` needs; returns whether all rows were read.
    ///
    /// While a generation is not settled, only the rows of sessions that have not quiesced it are
    /// read, and all rows once none is left.
    pub(super) async fn refresh(
        &mut self,
        client: &PlatformClient,
        wait: SessionWait,
        now: TimePoint,
    ) -> Result<bool> {
        let is_pending = wait.settled < wait.head;
        let period = if is_pending || wait.has_unknown {
            PENDING_SCAN_PERIOD
        } else {
            SCAN_PERIOD
        };
        let is_fresh = |at| now.since(at) < period;
        if !self.scanned_at.is_some_and(is_fresh) {
            self.scan(client, now).await?;
            return Ok(true);
        }
        if !is_pending {
            return Ok(false);
        }
        let outstanding = self.outstanding(wait.head);
        if !outstanding.is_empty() {
            self.read(client, &outstanding).await?;
        }
        if !self.outstanding(wait.head).is_empty() {
            return Ok(false);
        }
        self.scan(client, now).await?;
        Ok(true)
    }

    /// Sessions whose rows say that they have not quiesced the head.
    fn outstanding(&self, head: Generation) -> Vec<SessionId> {
        let rows = self.rows.values();
        rows.filter(|row| row.state != SessionState::Left && row.quiesced < head)
            .map(|row| row.session)
            .collect()
    }

    async fn read(&mut self, client: &PlatformClient, sessions: &[SessionId]) -> Result<()> {
        let asked = sessions.iter().take(MAX_ASKED);
        let keys: Vec<_> = asked.map(|session| session_key(*session)).collect();
        let keys: Vec<&str> = keys.iter().map(|key| key.as_str()).collect();
        for row in client.read(&keys).await? {
            // A row that cannot be read stays as it was, which keeps generations from settling.
            if let Ok(record) = serde_json::from_value::<SessionRecord>(row.value) {
                self.rows.insert(record.session, record);
            }
        }
        Ok(())
    }

    async fn scan(&mut self, client: &PlatformClient, now: TimePoint) -> Result<()> {
        let rows = session_rows(client).await?;
        self.rows = rows.into_iter().map(|row| (row.session, row)).collect();
        self.scanned_at = Some(now);
        Ok(())
    }
}
