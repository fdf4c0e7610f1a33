use std::time::Duration;

use super::pool_entry::ShareBounds;
use super::{FlowIndex, JobScheduler, PoolIndex};
use crate::queue::{FlowBlock, NOT_LISTED, SlotDemand, UsageMeter, slot_targets};
use crate::time::TimePoint;

/// Time for which a team counts as newly backlogged; an exchange reaches all peers within it.
const NEW_BACKLOG_TIME: Duration = Duration::from_millis(1_500);

/// Largest fraction by which a team's weight is raised or lowered to compensate for past usage.
/// The usage of peers is known with a delay, so a larger correction would overshoot.
const MAX_CORRECTION: f64 = 0.15;

impl JobScheduler {
    /// Adds a flow to its pool's list of backlogged flows.
    pub(super) fn list_flow(&mut self, index: FlowIndex, now: TimePoint) {
        let flow = &self.flows[index.at()];
        let pool = flow.pool;
        if flow.remote_queued == 0.0 {
            self.record_backlog(index, true);
            self.start_new_backlog(index, now);
        }
        // The sort key of a flow that is alone in the list is not kept up to date.
        let order = match self.fleet.pools[pool.at()].backlog[..] {
            [] => 0.0,
            [(_, other)] => {
                self.fleet.pools[pool.at()].backlog[0].0 = self.key(other, now);
                self.order(index, now)
            }
            _ => self.order(index, now),
        };
        let backlog = &mut self.fleet.pools[pool.at()].backlog;
        let flow = &mut self.flows[index.at()];
        flow.position = u32::try_from(backlog.len()).unwrap_or(NOT_LISTED);
        flow.block = FlowBlock::None;
        backlog.push((order, index));
        self.mark_pool(pool);
        self.start_revision_timer(now);
    }

    /// Removes a flow from its pool's list of backlogged flows.
    pub(super) fn unlist_flow(&mut self, index: FlowIndex, now: TimePoint) {
        self.clear_block(index);
        if self.flows[index.at()].remote_queued == 0.0 {
            self.record_backlog(index, false);
        }
        let flow = &mut self.flows[index.at()];
        let position = std::mem::replace(&mut flow.position, NOT_LISTED) as usize;
        let pool = &mut self.fleet.pools[flow.pool.at()];
        pool.backlog.swap_remove(position);
        if let Some((_, moved)) = pool.backlog.get(position) {
            self.flows[moved.at()].position = u32::try_from(position).unwrap_or(NOT_LISTED);
        }
        if pool.reserved.is_some_and(|(_, flow)| flow == index)
            && let Some((worker, _)) = pool.reserved.take()
        {
            self.refresh_worker(worker, now);
        }
    }

    /// Records that a team's backlog in a pool, here or at a peer, has begun or ended.
    pub(super) fn record_backlog(&mut self, index: FlowIndex, has_begun: bool) {
        let flow = &self.flows[index.at()];
        let weight = self.fleet.teams[flow.team.at()].weight;
        let pool = &mut self.fleet.pools[flow.pool.at()];
        pool.backlogged_weight += if has_begun { weight } else { -weight };
    }

    /// Updates the sort key of a flow.
    pub(super) fn reorder(&mut self, index: FlowIndex, now: TimePoint) {
        let flow = &self.flows[index.at()];
        if flow.position == NOT_LISTED || flow.block != FlowBlock::None {
            return;
        }
        if self.fleet.pools[flow.pool.at()].backlog.len() == 1 {
            self.fleet.pools[flow.pool.at()].backlog[0].0 = 0.0;
            return;
        }
        let order = self.order(index, now);
        let flow = &self.flows[index.at()];
        self.fleet.pools[flow.pool.at()].backlog[flow.position as usize].0 = order;
    }

    /// Excludes a flow from selection until the missing units are available.
    pub(super) fn block(&mut self, index: FlowIndex, block: FlowBlock) {
        let flow = &mut self.flows[index.at()];
        flow.block = block;
        let pool = &mut self.fleet.pools[flow.pool.at()];
        pool.backlog[flow.position as usize].0 = f32::INFINITY;
        match block {
            FlowBlock::Permits => self.fleet.teams[flow.team.at()].blocked += 1,
            FlowBlock::Slots => pool.waiting.push(index),
            FlowBlock::None => {}
        }
    }

    /// Makes a flow eligible for selection again.
    pub(super) fn unblock(&mut self, index: FlowIndex, now: TimePoint) {
        self.clear_block(index);
        self.reorder(index, now);
        self.mark_pool(self.flows[index.at()].pool);
    }

    fn clear_block(&mut self, index: FlowIndex) {
        let flow = &mut self.flows[index.at()];
        match std::mem::take(&mut flow.block) {
            FlowBlock::Permits => self.fleet.teams[flow.team.at()].blocked -= 1,
            FlowBlock::Slots => {
                let waiting = &mut self.fleet.pools[flow.pool.at()].waiting;
                waiting.retain(|waiting| *waiting != index);
            }
            FlowBlock::None => {}
        }
    }

    /// Returns the sort key of a listed flow, which is infinite while it is blocked.
    fn key(&self, index: FlowIndex, now: TimePoint) -> f32 {
        if self.flows[index.at()].block != FlowBlock::None {
            return f32::INFINITY;
        }
        self.order(index, now)
    }

    fn order(&self, index: FlowIndex, now: TimePoint) -> f32 {
        if self.flows[index.at()].overdue.is_some() {
            return f32::NEG_INFINITY;
        }
        #[expect(
            clippy::cast_possible_truncation,
            reason = "a sort key needs no more digits"
        )]
        let order = self.share_order(index, now) as f32;
        order
    }

    /// Returns how far a flow's team is above its share, comparable within a pool.
    pub(super) fn share_order(&self, index: FlowIndex, now: TimePoint) -> f64 {
        let flow = &self.flows[index.at()];
        let weight = self.fleet.teams[flow.team.at()].weight;
        let level = self.fleet.pools[flow.pool.at()].slots_per_weight;
        let sessions = self.fleet.view.sessions.len();
        let look_ahead = self.policy.share_look_ahead.as_secs_f64();
        flow.sort_key(weight, sessions, level, look_ahead, now)
    }

    /// Records that a team has become backlogged.
    pub(super) fn start_new_backlog(&mut self, index: FlowIndex, now: TimePoint) {
        self.flows[index.at()].newly_backlogged_until = now.after(NEW_BACKLOG_TIME);
        if self.fleet.pools[self.flows[index.at()].pool.at()]
            .ready
            .is_empty()
        {
            self.align_usage(index, now);
        }
    }

    /// Moves the usage of a newly backlogged team close to that of the other backlogged teams.
    /// Otherwise its past idle time, or its past use of an idle pool, would affect its share for
    /// long.
    fn align_usage(&mut self, index: FlowIndex, now: TimePoint) {
        let pool = self.flows[index.at()].pool;
        let bounds = self.share_bounds(pool, now);
        self.clamp_usage(index, &bounds, now);
    }

    /// Returns the usage range of the backlogged teams of a pool.
    fn share_bounds(&self, pool: PoolIndex, now: TimePoint) -> ShareBounds {
        let mut bounds = ShareBounds::new();
        for index in self.fleet.pools[pool.at()].flows.iter().flatten() {
            let flow = &self.flows[index.at()];
            if flow.is_backlogged() {
                let weight = self.fleet.teams[flow.team.at()].weight;
                bounds.add(*index, flow.normalised_usage(weight, now), weight);
            }
        }
        bounds
    }

    /// Clamps the usage of a newly backlogged team to the range of the other teams, extended by the
    /// start credit on both sides.
    fn clamp_usage(&mut self, index: FlowIndex, bounds: &ShareBounds, now: TimePoint) {
        let Some((low, high)) = bounds.others(index) else {
            return;
        };
        let flow = &mut self.flows[index.at()];
        let weight = self.fleet.teams[flow.team.at()].weight;
        let credit = self.policy.start_credit.as_secs_f64() / bounds.weights();
        let usage = flow.normalised_usage(weight, now);
        let start = usage.clamp(low - credit, high + credit);
        let current = flow.credit.read(0.0, flow.decay_s, now);
        flow.credit = UsageMeter::new(current, now);
        flow.credit.add((start - usage) * weight);
    }

    /// Recalculates the slots that this entry instance is entitled to in the pool.
    pub(super) fn update_entitlement(&mut self, pool: PoolIndex, now: TimePoint) {
        let entry = &self.fleet.pools[pool.at()];
        let active: Vec<FlowIndex> = entry
            .flows
            .iter()
            .flatten()
            .copied()
            .filter(|flow| self.flows[flow.at()].demand() > 0.0)
            .collect();
        let weights: f64 = active
            .iter()
            .map(|flow| &self.flows[flow.at()])
            .filter(|flow| flow.is_backlogged())
            .map(|flow| self.fleet.teams[flow.team.at()].weight)
            .sum();
        self.fleet.pools[pool.at()].slots_per_weight = f64::from(entry.slots) / weights;
        let entry = &self.fleet.pools[pool.at()];
        let remote = active
            .iter()
            .any(|flow| self.flows[flow.at()].remote_queued > 0.0);
        if !remote {
            self.fleet.pools[pool.at()].entitlement = f64::INFINITY;
            return;
        }
        let slots = f64::from(entry.slots);
        let demands = self.slot_demands(&active, now);
        let targets = slot_targets(slots, &demands);
        let entitlement = active
            .iter()
            .zip(&targets)
            .map(|(flow, target)| {
                let flow = &self.flows[flow.at()];
                if flow.local_demand() > 0.0 {
                    target * flow.local_fraction()
                } else {
                    0.0
                }
            })
            .sum();
        self.fleet.pools[pool.at()].entitlement = entitlement;
    }

    fn slot_demands(&self, active: &[FlowIndex], now: TimePoint) -> Vec<SlotDemand> {
        let usages: Vec<(f64, f64)> = active
            .iter()
            .map(|flow| {
                let flow = &self.flows[flow.at()];
                let weight = self.fleet.teams[flow.team.at()].weight;
                (weight, flow.normalised_usage(weight, now))
            })
            .collect();
        let backlogged = |flow: &FlowIndex| self.flows[flow.at()].is_backlogged();
        let (weights, used) = active
            .iter()
            .zip(&usages)
            .filter(|(flow, _)| backlogged(flow))
            .fold((0.0, 0.0), |sum, (_, (weight, usage))| {
                (sum.0 + weight, sum.1 + weight * usage)
            });
        let mean = if weights > 0.0 { used / weights } else { 0.0 };
        active
            .iter()
            .zip(&usages)
            .map(|(index, (weight, usage))| {
                let flow = &self.flows[index.at()];
                let correction = if mean > 0.0 && flow.is_backlogged() {
                    ((mean - usage) / mean).clamp(-MAX_CORRECTION, MAX_CORRECTION)
                } else {
                    0.0
                };
                let limit = f64::from(self.fleet.teams[flow.team.at()].limit);
                SlotDemand {
                    weight: weight * (1.0 + correction),
                    demand: flow.demand().min(limit),
                }
            })
            .collect()
    }

    /// Recalculates entitlements and sort keys of the pools that have a backlog or peer requests.
    pub(super) fn revise(&mut self, now: TimePoint) {
        for position in 0..self.fleet.pools.len() {
            let pool = PoolIndex::with_position(position);
            let entry = &self.fleet.pools[position];
            if entry.backlog.is_empty() && entry.requests.is_empty() {
                continue;
            }
            self.update_entitlement(pool, now);
            let bounds = self.share_bounds(pool, now);
            for place in 0..self.fleet.pools[position].backlog.len() {
                let flow = self.fleet.pools[position].backlog[place].1;
                if self.flows[flow.at()].newly_backlogged_until > now {
                    self.clamp_usage(flow, &bounds, now);
                }
                self.reorder(flow, now);
            }
            if !self.fleet.pools[position].ready.is_empty() {
                self.mark_pool(pool);
            }
        }
    }
}
