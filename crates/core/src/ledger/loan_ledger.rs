use std::collections::{BTreeMap, BTreeSet};

use super::{LoanRecord, PeerLedger, ResourceKey};
use crate::ids::{Generation, SessionId};

/// Loans to and from all peers.
#[derive(Debug, Default)]
pub(crate) struct LoanLedger {
    /// Ledgers by peer.
    pub(crate) peers: BTreeMap<SessionId, PeerLedger>,
}

impl LoanLedger {
    /// Ledger of a peer; created if it does not exist.
    pub(crate) fn peer(&mut self, peer: SessionId) -> &mut PeerLedger {
        self.peers.entry(peer).or_default()
    }

    /// Voids the lent loans that `select` accepts and that were made before `generation`.
    ///
    /// The lender must not consider a loan void while the borrower may still use it. The loan
    /// therefore counts as void from `generation` on, even if earlier generations were skipped.
    pub(crate) fn void_lent(
        &mut self,
        generation: Generation,
        select: impl Fn(&LoanRecord) -> bool,
    ) {
        let lent = self
            .peers
            .values_mut()
            .flat_map(|ledger| ledger.lent.values_mut());
        for loan in lent.filter(|loan| select(loan)) {
            let first = if loan.brief {
                Generation::ZERO
            } else {
                generation
            };
            loan.void(first, generation);
        }
    }

    /// Voids, from generation `first` on, the borrowed loans that `select` accepts and that were
    /// made before `generation`. Returns the units that became void.
    pub(crate) fn void_borrowed(
        &mut self,
        first: Generation,
        generation: Generation,
        select: impl Fn(&LoanRecord) -> bool,
    ) -> Vec<(ResourceKey, u32)> {
        self.peers
            .values_mut()
            .flat_map(|ledger| ledger.borrowed.values_mut())
            .filter(|loan| select(loan))
            .filter_map(|loan| {
                let voided = loan.void(first, generation);
                voided.then_some((loan.resource, loan.units))
            })
            .collect()
    }

    /// Returns up to `units` borrowed units to their lenders, void ones first. The result is the
    /// number of units returned and how many of them were void.
    pub(crate) fn return_borrowed(&mut self, resource: ResourceKey, units: u32) -> (u32, u32) {
        let mut returned = (0, 0);
        for void in [true, false] {
            for ledger in self.peers.values_mut() {
                for loan in ledger.borrowed.values_mut() {
                    if loan.resource != resource || loan.void_at.is_some() != void {
                        continue;
                    }
                    let part = loan.units.min(units - returned.0);
                    loan.units -= part;
                    returned.0 += part;
                    returned.1 += if void { part } else { 0 };
                }
                ledger.borrowed.retain(|_, loan| loan.units > 0);
            }
        }
        returned
    }

    /// Lent units of a resource whose loans are not void under `generation`.
    pub(crate) fn valid_lent(&self, resource: ResourceKey, generation: Generation) -> u32 {
        self.peers
            .values()
            .flat_map(|ledger| ledger.lent.values())
            .filter(|loan| loan.resource == resource && !loan.is_void(generation))
            .map(|loan| loan.units)
            .sum()
    }

    /// First generation under which any units that are still borrowed are void.
    pub(crate) fn first_void(&self) -> Option<Generation> {
        self.peers
            .values()
            .flat_map(|ledger| ledger.borrowed.values())
            .filter_map(|loan| loan.void_at)
            .min()
    }

    /// Peers that have lent units which are not returned yet.
    pub(crate) fn lenders(&self) -> BTreeSet<SessionId> {
        let ledgers = self.peers.iter();
        let lenders = ledgers.filter(|(_, ledger)| !ledger.borrowed.is_empty());
        lenders.map(|(peer, _)| *peer).collect()
    }

    /// Resources with borrowed units, sorted and without duplicates.
    pub(crate) fn borrowed(&self) -> Vec<ResourceKey> {
        let mut resources: Vec<ResourceKey> = self
            .peers
            .values()
            .flat_map(|ledger| ledger.borrowed.values())
            .map(|loan| loan.resource)
            .collect();
        resources.sort_unstable();
        resources.dedup();
        resources
    }
}
