use serde::{Deserialize, Serialize};

use crate::ids::{Generation, InstanceName, PoolName, TeamName};

/// Resource that a loan consists of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LentResource {
    /// Permits of a team.
    Permits(TeamName),
    /// Slots of a worker.
    Slots(InstanceName),
}

/// Loan offered to a borrower. The lender resends it until the borrower reports its number as
/// closed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanOffer {
    /// Number of the loan, increasing for each pair of lender and borrower.
    pub sequence: u64,
    /// Lent resource.
    pub resource: LentResource,
    /// Number of units.
    pub units: u32,
    /// Generation under which the lender granted the loan.
    pub made_at: Generation,
    /// Whether the loan becomes void at the next generation. This applies to loans to a session
    /// outside the view, because no view change informs the lender when such a session ends.
    #[serde(default)]
    pub brief: bool,
}

/// Borrower's report to a lender on the loans that it holds.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// Highest loan number that was received or abandoned.
    pub closed: u64,
    /// Number and held units of each loan that is still held.
    pub open: Vec<(u64, u32)>,
}

/// Kind of units that a borrower requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestedUnits {
    /// Permits of a team.
    Permits(TeamName),
    /// Slots of any workers of a pool.
    Slots {
        /// The pool.
        pool: PoolName,
        /// Most underserved team with waiting jobs at the borrower.
        team: TeamName,
        /// Slots that the team's next job needs on one worker.
        size: u32,
    },
    /// Slots of one worker, for a job that exceeds the borrower's share of every worker.
    Worker(InstanceName),
}

/// Request for a loan. It replaces the sender's earlier requests and expires after 1 s.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Requested kind of units.
    pub what: RequestedUnits,
    /// Number of units.
    pub units: u32,
}
