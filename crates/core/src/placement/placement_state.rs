use super::{JobRequirements, slots_for};

/// Compact copy of the worker state that placement reads.
///
/// It is stored separately from the worker records because placement reads workers in random
/// order, and 16,000 full records do not fit the processor's caches.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct PlacementState {
    pub(crate) cores: u32,
    pub(crate) memory_mb: u32,
    pub(crate) slots: u32,
    /// Slots that a job may take now; 0 if the worker accepts no work.
    pub(crate) free_slots: u32,
    /// Factor applied to the free slots in the score; below 1 after failures.
    pub(crate) health_factor: f32,
    /// Whether the worker is quarantined and accepts only a single idempotent job as a trial.
    pub(crate) on_trial: bool,
}

impl PlacementState {
    /// Returns the number of slots that a job takes, or `None` if the worker is too small for it.
    pub(crate) fn slots_for(&self, requirements: JobRequirements) -> Option<u32> {
        slots_for(self.cores, self.memory_mb, self.slots, requirements)
    }

    /// Returns the placement score; the worker with the higher score is preferred.
    pub(crate) fn score(&self) -> f32 {
        #[expect(clippy::cast_precision_loss, reason = "few slots")]
        let free = self.free_slots as f32;
        free * self.health_factor
    }
}
