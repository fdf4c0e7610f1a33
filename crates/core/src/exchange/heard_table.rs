use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::AgedPoint;
use crate::ids::{Generation, SessionId};
use crate::time::TimePoint;

/// Maximum number of records in one message.
const MAX_RECORDS: usize = 100;

/// Time after which a session without new messages is removed.
const RETENTION: Duration = Duration::from_secs(60);

/// Age from which a record is no longer relayed; the evidence rule ignores older records.
const MAX_RELAY_AGE: Duration = Duration::from_millis(2_500);

/// Latest contact with one session.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardRecord {
    /// The session.
    pub session: SessionId,
    /// Time since the last message from the session.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Age of the session's newest evidence of the head, if it has any.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub evidence_age: Option<Duration>,
    /// Generation that the session applies.
    pub generation: Generation,
}

#[derive(Debug)]
struct HeardSession {
    heard: AgedPoint,
    evidence: Option<AgedPoint>,
    generation: Generation,
}

/// Latest contact with each session, directly or through a relayed record.
#[derive(Debug, Default)]
pub(crate) struct HeardTable {
    sessions: BTreeMap<SessionId, HeardSession>,
    relay_offset: usize,
}

impl HeardTable {
    /// Stores a record unless the stored one is at least as recent.
    pub(crate) fn record(&mut self, record: &HeardRecord, now: TimePoint) {
        let known = self.sessions.get(&record.session);
        if known.is_some_and(|known| known.heard.age(now) <= record.age) {
            return;
        }
        let session = HeardSession {
            heard: AgedPoint::new(record.age, now),
            evidence: record.evidence_age.map(|age| AgedPoint::new(age, now)),
            generation: record.generation,
        };
        self.sessions.insert(record.session, session);
    }

    /// Returns the records that are younger than `within`.
    pub(crate) fn records(&self, within: Duration, now: TimePoint) -> Vec<HeardRecord> {
        self.sessions
            .iter()
            .map(|(session, heard)| HeardRecord {
                session: *session,
                age: heard.heard.age(now),
                evidence_age: heard.evidence.map(|evidence| evidence.age(now)),
                generation: heard.generation,
            })
            .filter(|record| record.age < within)
            .collect()
    }

    /// Returns the records for a message to `peer`. If they do not all fit, successive calls rotate
    /// through them.
    pub(crate) fn relay(&mut self, peer: SessionId, now: TimePoint) -> Vec<HeardRecord> {
        self.sessions
            .retain(|_, heard| heard.heard.age(now) < RETENTION);
        let mut records = self.records(MAX_RELAY_AGE, now);
        records.retain(|record| record.session != peer);
        if records.len() > MAX_RECORDS {
            let start = self.relay_offset % records.len();
            records.rotate_left(start);
            records.truncate(MAX_RECORDS);
            self.relay_offset += MAX_RECORDS;
        }
        records
    }
}
