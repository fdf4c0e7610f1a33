use std::time::Duration;

use super::LeaseRecord;
use crate::ids::SessionId;
use crate::time::TimePoint;

/// Times of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePolicy {
    /// Time without a renewal after which a candidate takes the lease.
    pub expiry: Duration,
    /// Time between two renewals by the holder.
    pub renewal: Duration,
}

impl LeasePolicy {
    /// Creates the default policy: expiry after 5 s, renewal each second.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            expiry: Duration::from_secs(5),
            renewal: Duration::from_secs(1),
        }
    }
}

impl Default for LeasePolicy {
    fn default() -> Self {
        Self::new()
    }
}

/// What a candidate does next.
///
/// The record is written on the condition that the row still has the version that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Another session holds the lease.
    Wait,
    /// Write the record to take the lease.
    Acquire(LeaseRecord),
    /// This session holds the lease; write the record to renew it.
    Renew(LeaseRecord),
    /// This session holds the lease and a renewal is not due.
    Hold,
}

/// One session's view of the lease, on its own clock.
#[derive(Debug)]
pub struct LeaseCandidate {
    session: SessionId,
    policy: LeasePolicy,
    seen: Option<(LeaseRecord, TimePoint)>,
    held_epoch: Option<u64>,
    renewed_at: Option<TimePoint>,
}

impl LeaseCandidate {
    /// Creates a candidate that has not read the row.
    #[must_use]
    pub const fn new(session: SessionId, policy: LeasePolicy) -> Self {
        Self {
            session,
            policy,
            seen: None,
            held_epoch: None,
            renewed_at: None,
        }
    }

    /// Decides on the row as read at `now`; `None` when there is no row.
    ///
    /// A session id belongs to one run of one process, so a row that names it is its own, also
    /// when the response to the write that put it there was lost.
    pub fn step(&mut self, row: Option<&LeaseRecord>, now: TimePoint) -> LeaseAction {
        let Some(&row) = row else {
            self.held_epoch = None;
            self.seen = None;
            return LeaseAction::Acquire(self.next_epoch(0));
        };
        if row.holder == self.session {
            self.held_epoch = Some(row.epoch);
            self.seen = None;
            return self.renew_when_due(row, now);
        }
        self.held_epoch = None;
        match self.seen {
            Some((seen, since)) if seen == row => {
                if now.since(since) > self.policy.expiry {
                    LeaseAction::Acquire(self.next_epoch(row.epoch))
                } else {
                    LeaseAction::Wait
                }
            }
            _ => {
                self.seen = Some((row, now));
                LeaseAction::Wait
            }
        }
    }

    /// Takes note that `record` was written, or read back, by an operation that was sent at `sent`.
    pub fn confirm(&mut self, record: &LeaseRecord, sent: TimePoint) {
        if record.holder == self.session {
            self.held_epoch = Some(record.epoch);
            self.renewed_at = Some(sent);
        }
    }

    /// Takes note that a write was refused because the row had changed.
    pub const fn relinquish(&mut self) {
        self.held_epoch = None;
    }

    /// Epoch under which this session may act on its own, if it holds the lease.
    ///
    /// Table writes are fenced by the version of the row. Other actions, such as reboots, are
    /// not: they need a renewal that is younger than the time after which another candidate can
    /// take over, less the time of one renewal.
    #[must_use]
    pub fn epoch(&self, now: TimePoint) -> Option<u64> {
        let age = now.since(self.renewed_at?);
        if age + self.policy.renewal < self.policy.expiry {
            self.held_epoch
        } else {
            None
        }
    }

    fn renew_when_due(&self, row: LeaseRecord, now: TimePoint) -> LeaseAction {
        let is_due = self
            .renewed_at
            .is_none_or(|renewed| now.since(renewed) >= self.policy.renewal);
        if is_due {
            LeaseAction::Renew(LeaseRecord {
                renewals: row.renewals + 1,
                ..row
            })
        } else {
            LeaseAction::Hold
        }
    }

    const fn next_epoch(&self, epoch: u64) -> LeaseRecord {
        LeaseRecord {
            holder: self.session,
            epoch: epoch + 1,
            renewals: 0,
        }
    }
}
