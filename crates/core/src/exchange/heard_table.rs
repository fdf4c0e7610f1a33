use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::AgedPoint;
use crate::ids::{Generation, SessionId};
use crate::time::TimePoint;

/// Most records in one message.
const MAX_RECORDS: usize = 100;

/// Time after which a silent session is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Time after which a session is no longer relayed; the evidence rule does not use older records.
const RELAY_BELOW: Duration = Duration::from_millis(2_500);

/// What is known of one session.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardRecord {
    /// The session.
    pub session: SessionId,
    /// Time since the session was heard from.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// Age of the session's newest evidence of the head.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub evidence_age: Option<Duration>,
    /// Generation that the session acts under.
    pub generation: Generation,
}

#[derive(Debug)]
struct HeardSession {
    heard: AgedPoint,
    evidence: Option<AgedPoint>,
    generation: Generation,
}

/// When each session was last heard from, directly or by relay.
#[derive(Debug, Default)]
pub(crate) struct HeardTable {
    sessions: BTreeMap<SessionId, HeardSession>,
    turn: usize,
}

impl HeardTable {
    /// Enters a record unless a newer one is known.
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

    /// Sessions heard from within a time.
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

    /// Records for a message to `peer`; takes turns when there are more than fit.
    pub(crate) fn relay(&mut self, peer: SessionId, now: TimePoint) -> Vec<HeardRecord> {
        self.sessions
            .retain(|_, heard| heard.heard.age(now) < FORGET_AFTER);
        let mut records = self.records(RELAY_BELOW, now);
        records.retain(|record| record.session != peer);
        if records.len() > MAX_RECORDS {
            let start = self.turn % records.len();
            records.rotate_left(start);
            records.truncate(MAX_RECORDS);
            self.turn += MAX_RECORDS;
        }
        records
    }
}
