//! Units of worker slots and team permits: allocation, loans, and units in use.
//!
//! Three rules ensure that no unit is used twice:
//!
//! - The allocations of one generation add up to the resource's units.
//! - A session owns the minimum of its allocations from the last settled to the current generation.
//! - The lender subtracts a loan from its own units before it sends the loan. The first generation
//!   that lowers the resource's units or changes the view makes the loan void, so that no void loan
//!   is left once that generation is settled.

mod allocation;
mod loan_ledger;
mod loan_record;
mod peer_ledger;
mod unit_account;

pub use allocation::{UnitSeed, block_owner, block_units, permit_allocation};
pub(crate) use loan_ledger::LoanLedger;
pub(crate) use loan_record::{LoanRecord, ResourceKey};
pub(crate) use peer_ledger::PeerLedger;
pub(crate) use unit_account::UnitAccount;
