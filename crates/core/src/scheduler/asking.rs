use std::collections::BTreeSet;

use super::{JobScheduler, PoolIndex};
use crate::ids::SessionId;
use crate::time::TimePoint;

/// Longest pause between two requests for extra exchanges, in revisions, while no peer lends.
const MAX_ASK_PAUSE: u32 = 16;

impl JobScheduler {
    /// Wants an exchange with the next possible lender in turn when units are missing. The pauses
    /// grow while no peer lends, so that a full fleet does not spend its control bytes on requests.
    pub(super) fn ask_peers(&mut self, now: TimePoint) {
        let lenders = if self.closing {
            BTreeSet::new()
        } else {
            self.lenders(now)
        };
        if lenders.is_empty() {
            self.ask_pause = 0;
            self.ask_wait = 0;
            return;
        }
        if self.ask_wait > 0 {
            self.ask_wait -= 1;
            return;
        }
        let next = lenders
            .iter()
            .find(|session| self.last_asked.is_none_or(|last| **session > last))
            .or_else(|| lenders.first());
        if let Some(peer) = next.copied() {
            self.last_asked = Some(peer);
            self.wanted.insert(peer);
            self.ask_pause = (self.ask_pause * 2).clamp(1, MAX_ASK_PAUSE);
            self.ask_wait = self.ask_pause - 1;
        }
    }

    /// Peers that own units which are missing here. A peer without such units could not lend any,
    /// and with the growing pauses a job could reach its deadline before an owner is asked.
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
                let active = records.filter(|record| record.active);
                lenders.extend(active.flat_map(|record| record.owners.iter().flatten()));
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
