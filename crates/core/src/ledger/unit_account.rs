use crate::ids::Generation;

/// Units of one resource (a worker's slots or a team's permits) at this entry instance.
#[derive(Debug, Default)]
pub(crate) struct UnitAccount {
    /// Minimum of the allocations from the last settled to the current generation.
    pub(crate) owned: u32,
    /// Units lent to peers.
    pub(crate) lent: u32,
    /// Units borrowed from peers, void ones included.
    pub(crate) borrowed: u32,
    /// Borrowed units whose loan is void. They are returned before any unit becomes free.
    pub(crate) void: u32,
    /// Units held by attempts whose end is not confirmed.
    pub(crate) in_use: u32,
    /// Total units of the resource in the fleet.
    units: u32,
    /// Allocations to this entry instance, each with the generation from which it applies. The
    /// first step covers the last settled generation.
    steps: Vec<(Generation, u32)>,
    /// Last generation that lowered the total units of the resource.
    lowered: Generation,
    settled: Generation,
    /// Minimum of the free units in the current and in the previous idle period.
    min_free: [u32; 2],
}

impl UnitAccount {
    /// Sets the total units of the resource and the share allocated to this entry instance from
    /// `generation` on. Returns whether the resource has fewer units than before.
    pub(crate) fn allocate(&mut self, generation: Generation, units: u32, share: u32) -> bool {
        let lowered = units < self.units;
        if lowered {
            self.lowered = generation;
        }
        self.units = units;
        if self.steps.last().map_or(share != 0, |step| step.1 != share) {
            if self.steps.is_empty() {
                self.steps.push((Generation::ZERO, 0));
            }
            self.steps.push((generation, share));
        }
        self.settle(self.settled);
        lowered
    }

    /// Records that the allocations from `first` up to, but not including, `generation` are
    /// unknown. The resource is frozen until `generation` is settled.
    pub(crate) fn skip(&mut self, first: Generation, generation: Generation) {
        self.lowered = generation;
        if self.steps.last().is_some_and(|step| step.1 != 0) {
            self.steps.push((first, 0));
        }
        self.settle(self.settled);
    }

    /// Records the highest settled generation.
    pub(crate) fn settle(&mut self, settled: Generation) {
        self.settled = settled;
        while self.steps.len() > 1 && self.steps[1].0 <= settled {
            self.steps.remove(0);
        }
        self.owned = self.steps.iter().map(|step| step.1).min().unwrap_or(0);
    }

    /// Whether the account waits for a generation to settle.
    pub(crate) fn is_pending(&self) -> bool {
        self.steps.len() > 1 || self.is_frozen()
    }

    /// Whether a generation that lowered the units is not settled yet. Until then, no attempt may
    /// start on the resource.
    pub(crate) fn is_frozen(&self) -> bool {
        self.lowered > self.settled
    }

    /// Last generation that lowered the units of the resource.
    pub(crate) fn lowered(&self) -> Generation {
        self.lowered
    }

    /// Allocations that apply from a generation above the settled one.
    pub(crate) fn unsettled_steps(&self) -> impl Iterator<Item = (Generation, u32)> + '_ {
        let settled = self.settled;
        self.steps
            .iter()
            .copied()
            .filter(move |step| step.0 > settled)
    }

    /// Owned and borrowed units that are neither lent nor in use.
    pub(crate) fn free(&self) -> u32 {
        (self.owned + self.borrowed).saturating_sub(self.lent + self.in_use)
    }

    /// Units that an attempt may take now.
    pub(crate) fn available(&self) -> u32 {
        if self.is_frozen() { 0 } else { self.free() }
    }

    /// Units that may be lent now.
    pub(crate) fn lendable(&self) -> u32 {
        self.available().min(self.owned.saturating_sub(self.lent))
    }

    /// Takes units for an attempt.
    pub(crate) fn take(&mut self, units: u32) {
        debug_assert!(
            units <= self.available(),
            "more units taken than are available"
        );
        self.in_use += units;
        self.update_idle_minimum();
    }

    /// Lowers the minimum of the current idle period to the units free now.
    pub(crate) fn update_idle_minimum(&mut self) {
        self.min_free[0] = self.min_free[0].min(self.free());
    }

    /// Ends the current idle period. Returns the number of borrowed units that were idle
    /// throughout the last two periods.
    pub(crate) fn end_idle_period(&mut self) -> u32 {
        let idle = self.min_free[0].min(self.min_free[1]).min(self.borrowed);
        self.min_free = [self.free(), self.min_free[0]];
        idle
    }

    /// Restarts the idle periods. The units that are free now count as in use until now.
    pub(crate) fn restart_idle_periods(&mut self) {
        self.min_free = [self.free(), 0];
    }

    /// Whether no unit is lent, borrowed or in use and no generation remains to be settled.
    pub(crate) fn is_unused(&self) -> bool {
        self.lent + self.borrowed + self.in_use == 0 && !self.is_pending()
    }
}
