use crate::ids::Generation;
use crate::scheduler::{TeamIndex, WorkerIndex};

/// A resource whose units are allocated and lent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum ResourceKey {
    /// Permits of a team.
    Team(TeamIndex),
    /// Slots of a worker.
    Worker(WorkerIndex),
}

/// One loan, at the lender or at the borrower.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoanRecord {
    /// What is lent.
    pub(crate) resource: ResourceKey,
    /// Units that the borrower still holds.
    pub(crate) units: u32,
    /// Generation under which the lender made the loan.
    pub(crate) made_at: Generation,
    /// Whether the loan is void with the next generation, whatever it changes.
    pub(crate) brief: bool,
    /// First later generation that lowers the resource or changes the view.
    pub(crate) void_at: Option<Generation>,
}

impl LoanRecord {
    /// Marks the loan as void from `first` on, or from the generation after its own if that is
    /// later, unless it was made under `generation` or a newer one. Returns whether it became void.
    pub(crate) fn void(&mut self, first: Generation, generation: Generation) -> bool {
        let voided = self.void_at.is_none() && self.made_at < generation;
        if voided {
            self.void_at = Some(first.max(self.made_at.next()));
        }
        voided
    }

    /// Whether the loan is void under `generation`.
    pub(crate) fn is_void(&self, generation: Generation) -> bool {
        self.void_at.is_some_and(|at| at <= generation)
    }
}
