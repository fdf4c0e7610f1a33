//! Messages in which entry instances exchange usage, backlog and loans of units.

mod aged_point;
mod coarse_age;
mod exchange_message;
mod heard_table;
mod loan_message;
mod origin_usage;
mod own_usage;
mod usage_summary;
mod usage_table;

pub(crate) use aged_point::AgedPoint;
pub(crate) use coarse_age::CoarseAge;
pub use exchange_message::{ExchangeMessage, LeavingRecord, MESSAGE_VERSION};
pub use heard_table::HeardRecord;
pub(crate) use heard_table::HeardTable;
pub use loan_message::{LentResource, LoanOffer, LoanReport, LoanRequest, RequestedUnits};
pub(crate) use origin_usage::{OriginEntry, OriginUsage};
pub(crate) use own_usage::{FlowReading, OwnUsage};
pub use usage_summary::{PairSlot, UsageEntry, UsageSummary, name_hash, origin_hash, pair_hash};
pub(crate) use usage_table::UsageTable;
