use std::collections::BTreeSet;

use rand::RngExt;
use rand::seq::SliceRandom;

use super::{JobScheduler, SchedulerAction, TeamIndex};
use crate::ids::SessionId;
use crate::ledger::ResourceKey;
use crate::time::TimePoint;

/// Maximum number of peers to which a leaving entry instance lends its units.
const MAX_BORROWERS: usize = 8;

impl JobScheduler {
    /// Refuses all queued and all new jobs, ahead of a shutdown.
    pub fn shut_down(&mut self, now: TimePoint) {
        self.is_shutting_down = true;
        self.refuse_queued(crate::code::ResultCode::ShuttingDown, now, |_| true);
    }

    /// Returns all borrowed units that are free and lends all own ones, and requests the exchanges
    /// that tell the peers. Called when no attempt is left: the view lists a session for some
    /// seconds after it has left, and during that time nobody else could use its units.
    pub fn hand_over_units(&mut self) {
        let mut peers = self.ledger.lenders();
        for resource in self.ledger.borrowed() {
            let free = self.account(resource).free();
            self.return_units(resource, free);
        }
        if self.may_dispatch() {
            peers.extend(self.lend_all());
        }
        let exchanges = peers
            .into_iter()
            .map(|peer| SchedulerAction::Exchange { peer });
        self.actions.extend(exchanges);
    }

    /// Returns whether a peer has not confirmed a loan yet.
    #[must_use]
    pub fn has_unconfirmed_loans(&self) -> bool {
        let mut ledgers = self.ledger.peers.values();
        ledgers.any(|ledger| ledger.lent.range(ledger.peer_closed + 1..).next().is_some())
    }

    /// Divides the free units of each resource among some peers, and returns these peers.
    fn lend_all(&mut self) -> BTreeSet<SessionId> {
        let sessions = self.fleet.view.sessions.iter().copied();
        let mut borrowers: Vec<SessionId> = sessions.filter(|peer| *peer != self.session).collect();
        borrowers.shuffle(&mut self.rng);
        borrowers.truncate(MAX_BORROWERS);
        let mut lent = BTreeSet::new();
        let teams = (0..self.fleet.teams.len()).map(TeamIndex::with_position);
        let workers = self.fleet.order.iter().copied();
        let resources: Vec<ResourceKey> = teams
            .map(ResourceKey::Team)
            .chain(workers.map(ResourceKey::Worker))
            .collect();
        for resource in resources {
            let first = self.rng.random_range(0..borrowers.len().max(1));
            let (before, after) = borrowers.split_at(first.min(borrowers.len()));
            for (place, peer) in after.iter().chain(before).enumerate() {
                let others = u32::try_from(borrowers.len() - place).unwrap_or(u32::MAX);
                let units = self.account(resource).lendable().div_ceil(others);
                if units > 0 && self.lend(resource, units, *peer) {
                    lent.insert(*peer);
                }
            }
        }
        lent
    }
}
