use crate::ids::PoolName;
use crate::placement::{JobRequirements, slots_for};

use super::team_entry::PeerRequest;
use super::{FlowIndex, WorkerIndex};

/// Lowest and highest usage of the backlogged teams of a pool, in slot seconds per unit of weight.
///
/// Keeps the two lowest and the two highest values, so that the bounds without any one team are
/// available.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShareBounds {
    lowest: [(f64, Option<FlowIndex>); 2],
    highest: [(f64, Option<FlowIndex>); 2],
    weights: f64,
}

impl ShareBounds {
    pub(crate) const fn new() -> Self {
        Self {
            lowest: [(f64::INFINITY, None); 2],
            highest: [(f64::NEG_INFINITY, None); 2],
            weights: 0.0,
        }
    }

    /// Adds the usage of a team.
    pub(crate) fn add(&mut self, index: FlowIndex, usage: f64, weight: f64) {
        let entry = (usage, Some(index));
        if usage < self.lowest[0].0 {
            self.lowest = [entry, self.lowest[0]];
        } else if usage < self.lowest[1].0 {
            self.lowest[1] = entry;
        }
        if usage > self.highest[0].0 {
            self.highest = [entry, self.highest[0]];
        } else if usage > self.highest[1].0 {
            self.highest[1] = entry;
        }
        self.weights += weight;
    }

    /// Returns the lowest and highest usage of the teams other than `index`, or `None` if there is
    /// no other team.
    pub(crate) fn others(&self, index: FlowIndex) -> Option<(f64, f64)> {
        let outer = |ends: &[(f64, Option<FlowIndex>); 2]| {
            let end = ends.iter().find(|(_, flow)| *flow != Some(index))?;
            end.1.map(|_| end.0)
        };
        Some((outer(&self.lowest)?, outer(&self.highest)?))
    }

    /// Sum of the teams' weights.
    pub(crate) const fn weights(&self) -> f64 {
        self.weights
    }
}

/// Slots that a peer requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotRequest {
    /// Flow of the team that waits at the peer, if known here.
    pub(crate) flow: Option<FlowIndex>,
    /// Slots that the team's next job needs on one worker.
    pub(crate) size: u32,
}

/// Pool with its backlogged flows and its workers that have free slots.
#[derive(Debug)]
pub(crate) struct PoolEntry {
    pub(crate) name: PoolName,
    /// Availability budget, in instances.
    pub(crate) max_unavailable: u32,
    pub(crate) workers: Vec<WorkerIndex>,
    /// Distinct cores, memory and slots of the workers.
    pub(crate) shapes: Vec<(u32, u32, u32)>,
    /// The same of the workers outside evacuated zones.
    pub(crate) open_shapes: Vec<(u32, u32, u32)>,
    /// Flow by team.
    pub(crate) flows: Vec<Option<FlowIndex>>,
    /// Backlogged flows with their sort keys.
    pub(crate) backlog: Vec<(f32, FlowIndex)>,
    /// Sum of the weights of the teams with a backlog here or at a peer.
    pub(crate) backlogged_weight: f64,
    /// Workers with slots on which jobs can start.
    pub(crate) ready: Vec<WorkerIndex>,
    /// Flows blocked until a worker has more free slots.
    pub(crate) waiting: Vec<FlowIndex>,
    /// Worker reserved for a large job of a flow.
    pub(crate) reserved: Option<(WorkerIndex, FlowIndex)>,
    pub(crate) requests: Vec<PeerRequest<SlotRequest>>,
    /// Slots held by attempts of this entry instance.
    pub(crate) held: u32,
    /// Slots that this entry instance is entitled to hold; infinite when no peer has a backlog.
    pub(crate) entitlement: f64,
    /// Slots of the active workers.
    pub(crate) slots: u32,
    /// Slots per unit of weight of the backlogged teams.
    pub(crate) slots_per_weight: f64,
    /// Whether the pool is in the scheduler's list of pools to serve.
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
            open_shapes: Vec::new(),
            flows: Vec::new(),
            backlog: Vec::new(),
            backlogged_weight: 0.0,
            ready: Vec::new(),
            waiting: Vec::new(),
            reserved: None,
            requests: Vec::new(),
            held: 0,
            entitlement: f64::INFINITY,
            slots: 0,
            slots_per_weight: f64::INFINITY,
            marked: false,
        }
    }

    /// Whether a job fits on any worker of the pool.
    pub(crate) fn fits(&self, requirements: JobRequirements) -> bool {
        fits_any(&self.shapes, requirements)
    }

    /// Whether evacuated zones have workers of sizes that no other zone has.
    pub(crate) const fn has_evacuated_shapes(&self) -> bool {
        self.open_shapes.len() < self.shapes.len()
    }

    /// Whether a job fits only on workers in evacuated zones.
    pub(crate) fn fits_only_evacuated(&self, requirements: JobRequirements) -> bool {
        self.has_evacuated_shapes()
            && !fits_any(&self.open_shapes, requirements)
            && self.fits(requirements)
    }

    /// Whether another attempt would exceed the slots that this entry instance is entitled to.
    pub(crate) fn is_over_entitlement(&self) -> bool {
        // A tolerance of a quarter of a slot prevents rounding from moving a slot back and forth
        // between peers.
        f64::from(self.held) + 0.75 > self.entitlement + 0.5
    }
}

fn fits_any(shapes: &[(u32, u32, u32)], requirements: JobRequirements) -> bool {
    shapes.iter().any(|(cores, memory_mb, slots)| {
        slots_for(*cores, *memory_mb, *slots, requirements).is_some_and(|units| units <= *slots)
    })
}
