use super::{JobRequirements, slots_for};

/// What the choice of a worker looks at.
///
/// It is kept apart from the worker's record, because the choice looks at workers at random and
/// 16,000 records do not fit the processor's caches.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct PlacementState {
    pub(crate) cores: u32,
    pub(crate) memory_mb: u32,
    pub(crate) slots: u32,
    /// Slots that may be taken now; none when the worker takes no work.
    pub(crate) free_slots: u32,
    /// Factor for the free slots; below 1 after failures.
    pub(crate) health_factor: f32,
    /// Whether the worker takes a single idempotent job.
    pub(crate) on_trial: bool,
}

impl PlacementState {
    /// Slots that a job takes, or none when the worker is too small for it.
    pub(crate) fn slots_for(&self, requirements: JobRequirements) -> Option<u32> {
        slots_for(self.cores, self.memory_mb, self.slots, requirements)
    }

    /// Attractiveness of the worker for the next job.
    pub(crate) fn score(&self) -> f32 {
        #[expect(clippy::cast_precision_loss, reason = "few slots")]
        let free = self.free_slots as f32;
        free * self.health_factor
    }
}
