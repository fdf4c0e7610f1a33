use crate::ids::Generation;
use crate::scheduler::{TeamIndex, WorkerIndex};

/// Resource whose units are allocated and lent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum ResourceKey {
    /// Permits of a team.
    Team(TeamIndex),
    /// Slots of a worker.
    Worker(WorkerIndex),
}

/// One loan, as stored at the lender or at the borrower.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoanRecord {
    /// Resource whose units are lent.
    pub(crate) resource: ResourceKey,
    /// Units that the borrower still holds.
    pub(crate) units: u32,
    /// Generation under which the lender made the loan.
    pub(crate) made_at: Generation,
    /// Whether the next generation voids the loan, regardless of what it changes.
    pub(crate) brief: bool,
    /// First generation under which the loan is void; `None` while no later generation lowers the
    /// resource's units or changes the view.
    pub(crate) void_at: Option<Generation>,
}

impl LoanRecord {
    /// Voids the loan from generation `first` on, or from the generation after `made_at` if that is
    /// later. A loan that is already void, or was made under `generation` or a newer one, stays as
    /// it is. Returns whether the loan became void.
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
