use crate::ids::PoolName;
use crate::placement::{Placing, slots_for};

use super::team_entry::PeerRequest;
use super::{FlowIndex, WorkerIndex};

/// Range of the usage of backlogged teams in slot seconds per unit of weight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareBounds {
    pub(crate) low: f64,
    pub(crate) high: f64,
    /// Sum of the teams' weights.
    pub(crate) weights: f64,
}

/// Slots that a peer asks for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotRequest {
    /// Team that waits at the peer.
    pub(crate) flow: Option<FlowIndex>,
    /// Slots that its next job takes on one worker.
    pub(crate) size: u32,
}

/// A pool, with its backlogged flows and its workers that have free slots.
#[derive(Debug)]
pub(crate) struct PoolEntry {
    pub(crate) name: PoolName,
    /// Availability budget.
    pub(crate) max_unavailable: u32,
    pub(crate) workers: Vec<WorkerIndex>,
    /// Distinct cores, memory and slots of the workers.
    pub(crate) shapes: Vec<(u32, u32, u32)>,
    /// Flow by team.
    pub(crate) flows: Vec<Option<FlowIndex>>,
    /// Backlogged flows with their sort keys.
    pub(crate) backlog: Vec<(f32, FlowIndex)>,
    /// Workers with slots that can be taken.
    pub(crate) ready: Vec<WorkerIndex>,
    /// Flows that wait for a worker with more free slots.
    pub(crate) waiting: Vec<FlowIndex>,
    /// Worker kept free for a large job of a flow.
    pub(crate) reserved: Option<(WorkerIndex, FlowIndex)>,
    pub(crate) requests: Vec<PeerRequest<SlotRequest>>,
    /// Slots held by attempts of this entry instance.
    pub(crate) held: u32,
    /// Slots that this entry instance should hold; infinite when no peer has a backlog.
    pub(crate) entitled: f64,
    /// Slots of the active workers.
    pub(crate) slots: u32,
    /// Slots per unit of weight of the backlogged teams.
    pub(crate) level: f64,
    /// Whether the pool is in the list of pools to serve.
    pub(crate) marked: bool,
}

impl PoolEntry {
    /// Creates a pool without workers.
    pub(crate) fn new(name: PoolName) -> Self {
        Self {
            name,
            max_unavailable: 0,
            workers: Vec::new(),
            shapes: Vec::new(),
            flows: Vec::new(),
            backlog: Vec::new(),
            ready: Vec::new(),
            waiting: Vec::new(),
            reserved: None,
            requests: Vec::new(),
            held: 0,
            entitled: f64::INFINITY,
            slots: 0,
            level: f64::INFINITY,
            marked: false,
        }
    }

    /// Whether a job fits any worker of the pool.
    pub(crate) fn fits(&self, placing: Placing) -> bool {
        self.shapes.iter().any(|(cores, memory_mb, slots)| {
            slots_for(*cores, *memory_mb, *slots, placing).is_some_and(|units| units <= *slots)
        })
    }

    /// Whether another attempt here would exceed the slots that this entry instance should hold.
    pub(crate) fn is_over(&self) -> bool {
        // A quarter of a slot of tolerance keeps a slot from going back and forth over rounding.
        f64::from(self.held) + 0.75 > self.entitled + 0.5
    }
}
