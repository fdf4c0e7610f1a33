use serde::{Deserialize, Serialize};

use crate::ids::{Generation, InstanceName, PoolName, TeamName};

/// What a loan consists of.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LentResource {
    /// Permits of a team.
    Permits(TeamName),
    /// Slots of a worker.
    Slots(InstanceName),
}

/// A loan on its way to the borrower. It is repeated until the borrower has closed its number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanOffer {
    /// Number of the loan; it grows per lender and borrower.
    pub sequence: u64,
    /// What is lent.
    pub resource: LentResource,
    /// Number of units.
    pub units: u32,
    /// Generation under which the lender made the loan.
    pub made_at: Generation,
    /// Whether the loan is void with the next generation. Loans to a session outside the view
    /// are, because no change of the view tells the lender that such a session is gone.
    #[serde(default)]
    pub brief: bool,
}

/// What a borrower holds of one lender's loans.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// Highest loan number that was received or given up on.
    pub closed: u64,
    /// Numbers of the loans still held, with the units held.
    pub open: Vec<(u64, u32)>,
}

/// Units that a borrower asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestedUnits {
    /// Permits of a team.
    Permits(TeamName),
    /// Slots of any workers of a pool.
    Slots {
        /// The pool.
        pool: PoolName,
        /// The most underserved team that waits at the borrower.
        team: TeamName,
        /// Slots that its next job takes on one worker.
        size: u32,
    },
    /// Slots of one worker, for a job that is larger than the borrower's part of any worker.
    Worker(InstanceName),
}

/// Request for a loan. It replaces the earlier requests of the sender and lapses after a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// What is asked for.
    pub what: RequestedUnits,
    /// Number of units.
    pub units: u32,
}
