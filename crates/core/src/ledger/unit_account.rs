use crate::ids::Generation;

/// Units of one resource at this entry instance.
#[derive(Debug, Default)]
pub(crate) struct UnitAccount {
    /// Minimum of the allocations from the last settled to the current generation.
    pub(crate) owned: u32,
    /// Units lent to peers.
    pub(crate) lent: u32,
    /// Units borrowed from peers, void ones included.
    pub(crate) borrowed: u32,
    /// Borrowed units whose loan is void; they are returned before any unit becomes free.
    pub(crate) void: u32,
    /// Units of attempts whose end is not confirmed.
    pub(crate) in_use: u32,
    /// Units of the whole resource.
    units: u32,
    /// Allocation from each generation on; the first step covers the last settled generation.
    steps: Vec<(Generation, u32)>,
    /// Last generation that lowered the units of the resource.
    lowered: Generation,
    settled: Generation,
    idle: [u32; 2],
}

impl UnitAccount {
    /// Sets the allocation from `generation` on. Returns whether the resource has fewer units
    /// than before.
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

    /// Records that the allocations from `first` up to but not including `generation` are not
    /// known. The resource is frozen until `generation` is settled.
    pub(crate) fn skip(&mut self, first: Generation, generation: Generation) {
        self.lowered = generation;
        if self.steps.last().is_some_and(|step| step.1 != 0) {
            self.steps.push((first, 0));
        }
        self.settle(self.settled);
    }

    /// Takes note of the highest settled generation.
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

    /// Whether a lowered limit is not settled yet; until then nothing new may start.
    pub(crate) fn is_frozen(&self) -> bool {
        self.lowered > self.settled
    }

    /// Last generation that lowered the resource.
    pub(crate) fn lowered(&self) -> Generation {
        self.lowered
    }

    /// Allocation steps above the settled generation.
    pub(crate) fn unsettled_steps(&self) -> impl Iterator<Item = (Generation, u32)> + '_ {
        let settled = self.settled;
        self.steps
            .iter()
            .copied()
            .filter(move |step| step.0 > settled)
    }

    /// Units that are neither lent nor in use.
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
            "units are taken that are not free"
        );
        self.in_use += units;
        self.update_idle_minimum();
    }

    /// Lowers the idle marks to the units free now.
    pub(crate) fn update_idle_minimum(&mut self) {
        self.idle[0] = self.idle[0].min(self.free());
    }

    /// Ends one idle period and returns the borrowed units that were idle for the last two.
    pub(crate) fn end_idle_period(&mut self) -> u32 {
        let idle = self.idle[0].min(self.idle[1]).min(self.borrowed);
        self.idle = [self.free(), self.idle[0]];
        idle
    }

    /// Restarts the idle periods, with the units free now counted as in use until now.
    pub(crate) fn restart_idle_periods(&mut self) {
        self.idle = [self.free(), 0];
    }

    /// Whether nothing refers to the resource any more.
    pub(crate) fn is_unused(&self) -> bool {
        self.lent + self.borrowed + self.in_use == 0 && !self.is_pending()
    }
}
