use std::collections::BTreeMap;

use super::{LoanRecord, ResourceKey};
use crate::exchange::LoanReport;
use crate::ids::Generation;

/// Loans to and from one peer.
#[derive(Debug, Default)]
pub(crate) struct PeerLedger {
    /// Loans to the peer, by sequence number.
    pub(crate) lent: BTreeMap<u64, LoanRecord>,
    /// Loans from the peer, by sequence number.
    pub(crate) borrowed: BTreeMap<u64, LoanRecord>,
    /// Highest sequence number that was received from the peer or is no longer accepted.
    pub(crate) closed: u64,
    /// Highest sequence number that the peer has closed.
    pub(crate) peer_closed: u64,
    last_sequence: u64,
}

impl PeerLedger {
    /// Adds a loan to the peer. The caller has already subtracted the units from its own.
    pub(crate) fn lend(&mut self, loan: LoanRecord) {
        self.last_sequence += 1;
        self.lent.insert(self.last_sequence, loan);
    }

    /// Closes the sequence number of a loan received from the peer. Returns whether the loan is
    /// accepted, that is, whether its number was not closed before. Lower numbers that were not
    /// received are closed too; loans with these numbers are rejected.
    pub(crate) fn accept(&mut self, sequence: u64) -> bool {
        let accepted = sequence > self.closed;
        self.closed = self.closed.max(sequence);
        accepted
    }

    /// Applies a report of the peer on its borrowed units. Returns the units that it returned.
    pub(crate) fn settle_report(&mut self, report: &LoanReport) -> Vec<(ResourceKey, u32)> {
        // The units of a loan only decrease, so a delayed report has no effect.
        self.peer_closed = self.peer_closed.max(report.closed);
        let held: BTreeMap<u64, u32> = report.open.iter().copied().collect();
        let mut returned = Vec::new();
        for (sequence, loan) in self.lent.range_mut(..=report.closed) {
            let units = held.get(sequence).copied().unwrap_or(0).min(loan.units);
            if units < loan.units {
                returned.push((loan.resource, loan.units - units));
                loan.units = units;
            }
        }
        self.lent.retain(|_, loan| loan.units > 0);
        returned
    }

    /// Creates the report to the peer on the units borrowed from it.
    pub(crate) fn report(&self) -> LoanReport {
        LoanReport {
            closed: self.closed,
            open: self
                .borrowed
                .iter()
                .map(|(sequence, loan)| (*sequence, loan.units))
                .collect(),
        }
    }

    /// Removes the lent loans that are void under the settled generation and returns their units.
    /// At that point, every borrower has returned them or has been gone for longer than a task
    /// lease.
    pub(crate) fn reclaim(&mut self, settled: Generation) -> Vec<(ResourceKey, u32)> {
        let mut returned = Vec::new();
        self.lent.retain(|_, loan| {
            let void = loan.is_void(settled);
            if void {
                returned.push((loan.resource, loan.units));
            }
            !void
        });
        returned
    }
}
