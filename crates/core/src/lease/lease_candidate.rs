use std::time::Duration;

use super::LeaseRecord;
use crate::ids::SessionId;
use crate::time::TimePoint;

/// Expiry and renewal times of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeasePolicy {
    /// Time without a renewal after which a candidate acquires the lease.
    pub expiry: Duration,
    /// Interval between renewals by the holder.
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

/// Next action of a candidate.
///
/// A record is written only if the row still has the version that the candidate read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseAction {
    /// Another session holds the lease.
    Wait,
    /// Write the record to acquire the lease.
    Acquire(LeaseRecord),
    /// This session holds the lease; write the record to renew it.
    Renew(LeaseRecord),
    /// This session holds the lease, and no renewal is due.
    Hold,
}

/// State machine with which one session competes for the lease, timed by the session's own clock.
#[derive(Debug)]
pub struct LeaseCandidate {
    session: SessionId,
    policy: LeasePolicy,
    /// Newest record of another holder, and when it was first read.
    observed: Option<(LeaseRecord, TimePoint)>,
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
            observed: None,
            held_epoch: None,
            renewed_at: None,
        }
    }

    /// Returns the next action, given the row as read at `now`; `row` is `None` if it does not
    /// exist.
    ///
    /// A session id belongs to one run of one process. A row with this session's id was therefore
    /// written by this session, even if the response to that write was lost.
    pub fn step(&mut self, row: Option<&LeaseRecord>, now: TimePoint) -> LeaseAction {
        let Some(&row) = row else {
            self.held_epoch = None;
            self.observed = None;
            return LeaseAction::Acquire(self.next_epoch(0));
        };
        if row.holder == self.session {
            self.held_epoch = Some(row.epoch);
            self.observed = None;
            return self.renew_when_due(row, now);
        }
        self.held_epoch = None;
        match self.observed {
            Some((observed, since)) if observed == row => {
                if now.since(since) > self.policy.expiry {
                    LeaseAction::Acquire(self.next_epoch(row.epoch))
                } else {
                    LeaseAction::Wait
                }
            }
            _ => {
                self.observed = Some((row, now));
                LeaseAction::Wait
            }
        }
    }

    /// Records that an operation sent at `sent` has written `record` or read it back.
    pub fn confirm(&mut self, record: &LeaseRecord, sent: TimePoint) {
        if record.holder == self.session {
            self.held_epoch = Some(record.epoch);
            self.renewed_at = Some(sent);
        }
    }

    /// Records that this session does not hold the lease, for example because the row had changed
    /// and the write was refused.
    pub const fn relinquish(&mut self) {
        self.held_epoch = None;
    }

    /// Returns the epoch under which this session may act, or `None` if it might not hold the
    /// lease.
    ///
    /// Table writes are fenced by the version of the row. Other actions, such as reboots, are not
    /// fenced. They require that the age of the last renewal plus one renewal interval is below
    /// the expiry, after which another candidate can take over.
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
