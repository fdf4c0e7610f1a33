use std::collections::BTreeMap;

use super::{PeerBook, ResourceKey};
use crate::ids::{Generation, SessionId};

/// Loans to and from all peers.
#[derive(Debug, Default)]
pub(crate) struct LoanBook {
    /// Books by peer.
    pub(crate) peers: BTreeMap<SessionId, PeerBook>,
}

impl LoanBook {
    /// The book of a peer.
    pub(crate) fn peer(&mut self, peer: SessionId) -> &mut PeerBook {
        self.peers.entry(peer).or_default()
    }

    /// Voids the loans made before `generation`, on one resource or on all. Returns the borrowed
    /// units that became void.
    pub(crate) fn void(
        &mut self,
        resource: Option<ResourceKey>,
        generation: Generation,
    ) -> Vec<(ResourceKey, u32)> {
        let mut voided = Vec::new();
        for book in self.peers.values_mut() {
            for loan in book.lent.values_mut() {
                if resource.is_none_or(|key| key == loan.resource) {
                    loan.void(generation);
                }
            }
            for loan in book.open.values_mut() {
                if resource.is_none_or(|key| key == loan.resource) && loan.void(generation) {
                    voided.push((loan.resource, loan.units));
                }
            }
        }
        voided
    }

    /// Gives back up to `units` borrowed units, void ones first. Returns the units given back and
    /// how many of them were void.
    pub(crate) fn give_back(&mut self, resource: ResourceKey, units: u32) -> (u32, u32) {
        let mut given = (0, 0);
        for void in [true, false] {
            for book in self.peers.values_mut() {
                for loan in book.open.values_mut() {
                    if loan.resource != resource || loan.void_at.is_some() != void {
                        continue;
                    }
                    let part = loan.units.min(units - given.0);
                    loan.units -= part;
                    given.0 += part;
                    given.1 += if void { part } else { 0 };
                }
                book.open.retain(|_, loan| loan.units > 0);
            }
        }
        given
    }

    /// Lent units of a resource whose loans are not void under `generation`.
    pub(crate) fn lent_under(&self, resource: ResourceKey, generation: Generation) -> u32 {
        self.peers
            .values()
            .flat_map(|book| book.lent.values())
            .filter(|loan| loan.resource == resource && !loan.is_void(generation))
            .map(|loan| loan.units)
            .sum()
    }

    /// First generation under which a borrowed unit still held is void.
    pub(crate) fn first_void(&self) -> Option<Generation> {
        self.peers
            .values()
            .flat_map(|book| book.open.values())
            .filter_map(|loan| loan.void_at)
            .min()
    }

    /// Resources of which units are borrowed.
    pub(crate) fn borrowed(&self) -> Vec<ResourceKey> {
        let mut resources: Vec<ResourceKey> = self
            .peers
            .values()
            .flat_map(|book| book.open.values())
            .map(|loan| loan.resource)
            .collect();
        resources.sort_unstable();
        resources.dedup();
        resources
    }
}
