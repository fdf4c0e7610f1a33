use std::sync::Arc;

use arc_swap::ArcSwap;
use sesamedeal_core::ids::QueueName;
use sesamedeal_core::jobs::QueueOverload;

use crate::ports::StorePosition;
use crate::row_codec::HeartbeatRow;

/// Number of waiting jobs of a queue, as counted by an owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingCount {
    pub jobs: u64,
    /// Epoch of the owner that published the count.
    pub epoch: u64,
    /// Position of the job table when the jobs were counted.
    pub counted: Option<StorePosition>,
}

/// The newest heartbeat of the owner.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeartbeatView {
    current: Arc<ArcSwap<Option<HeartbeatRow>>>,
}

impl HeartbeatView {
    pub(crate) fn set(&self, row: HeartbeatRow) {
        self.current.store(Arc::new(Some(row)));
    }

    /// Number of waiting jobs of a queue; none while no owner is known, or if its heartbeat leaves the
    /// queue out.
    pub(crate) fn pending(&self, queue: &QueueName) -> Option<WaitingCount> {
        let current = self.current.load();
        let heartbeat = current.as_ref().as_ref()?;
        let row = heartbeat.pending.iter().find(|(name, _)| name == queue);
        if row.is_none() && heartbeat.is_pending_partial {
            return None;
        }
        Some(WaitingCount {
            jobs: row.map_or(0, |(_, count)| *count),
            epoch: heartbeat.epoch,
            counted: heartbeat.counted,
        })
    }

    /// What the owner last published about an overloaded queue, and the position of the job table
    /// that this is based on.
    pub(crate) fn overload(&self, queue: &QueueName) -> Option<(QueueOverload, StorePosition)> {
        let current = self.current.load();
        let heartbeat = current.as_ref().as_ref().filter(|row| row.is_loaded)?;
        let overload = heartbeat.overloads.iter().find(|row| row.queue == *queue)?;
        Some((overload.clone(), heartbeat.counted?))
    }
}
