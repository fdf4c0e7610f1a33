use std::collections::BTreeSet;

use super::{JobScheduler, PoolIndex};
use crate::ids::SessionId;
use crate::time::TimePoint;

/// Upper bound of the backoff between extra exchanges, in revisions.
const MAX_REQUEST_BACKOFF: u32 = 16;

impl JobScheduler {
    /// Requests an extra exchange with the next possible lender, in round-robin order, when units
    /// are missing. The backoff grows while no peer lends, so that a full fleet does not spend its
    /// control traffic on requests.
    pub(super) fn request_extra_exchange(&mut self, now: TimePoint) {
        let lenders = if self.is_shutting_down {
            BTreeSet::new()
        } else {
            self.lenders(now)
        };
        if lenders.is_empty() {
            self.request_backoff = 0;
            self.request_backoff_left = 0;
            return;
        }
        if self.request_backoff_left > 0 {
            self.request_backoff_left -= 1;
            return;
        }
        let next = lenders
            .iter()
            .find(|session| self.last_requested.is_none_or(|last| **session > last))
            .or_else(|| lenders.first());
        if let Some(peer) = next.copied() {
            self.last_requested = Some(peer);
            self.requested_exchanges.insert(peer);
            self.request_backoff = (self.request_backoff * 2).clamp(1, MAX_REQUEST_BACKOFF);
            self.request_backoff_left = self.request_backoff - 1;
        }
    }

    /// Returns the peers that own units missing here. Requests to other peers would fail and
    /// increase the backoff, and a job could reach its deadline before an owner gets a request.
    fn lenders(&self, now: TimePoint) -> BTreeSet<SessionId> {
        let mut lenders = BTreeSet::new();
        let mut teams = self.fleet.teams.iter();
        if teams.any(|team| self.missing_permits(team, now) > 0) {
            lenders.extend(self.fleet.view.sessions.iter().copied());
        }
        for (position, entry) in self.fleet.pools.iter().enumerate() {
            if self.missing_slots(PoolIndex::with_position(position)) > 0 {
                let records = entry.workers.iter();
                let records = records.map(|worker| &self.fleet.workers[worker.at()]);
                let usable = records.filter(|record| record.is_usable());
                lenders.extend(usable.flat_map(|record| record.owners.iter().flatten()));
            }
            if let Some((worker, _)) = entry.reserved {
                let record = &self.fleet.workers[worker.at()];
                lenders.extend(record.owners.iter().flatten());
            }
        }
        lenders.remove(&self.session);
        lenders
    }
}
