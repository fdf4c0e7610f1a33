use std::sync::Arc;

use arc_swap::ArcSwap;
use sesamedeal_core::ids::QueueName;

use crate::row_codec::PulseRow;

/// Newest sign of life of the owner.
#[derive(Debug, Clone, Default)]
pub(crate) struct PulseView {
    current: Arc<ArcSwap<Option<PulseRow>>>,
}

impl PulseView {
    pub(crate) fn set(&self, row: PulseRow) {
        self.current.store(Arc::new(Some(row)));
    }

    /// Waiting jobs of a queue; none while no owner is known.
    pub(crate) fn pending(&self, queue: &QueueName) -> Option<u64> {
        let current = self.current.load();
        let mut rows = current.as_ref().as_ref()?.pending.iter();
        let row = rows.find(|(name, _)| name == queue);
        Some(row.map_or(0, |(_, count)| *count))
    }
}
