use std::collections::BTreeMap;

use crate::fleet::{DayTime, FleetState, InstanceState, SECONDS_PER_DAY, SheetItem};
use crate::ids::PoolName;

/// Sizes of the pools from one time of the day until the next step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemandStep {
    /// Seconds from the start of the plan.
    pub second: u32,
    /// Number of instances that each pool needs; 0 for the spare pool.
    pub needed: Vec<u32>,
    /// Number of instances that each pool should have, as far as no other pool needs them. For the
    /// spare pool it is the reserve.
    pub desired: Vec<u32>,
}

/// Sizes of the pools over the 24 hours after the start of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DayDemand {
    /// Pool names, in the order of all per-pool vectors.
    pub pools: Vec<PoolName>,
    /// Index of the spare pool.
    pub spare: Option<usize>,
    /// Availability budget per pool.
    pub budgets: Vec<u32>,
    /// Whether each pool is closing and has to be emptied.
    pub closing: Vec<bool>,
    /// Steps in ascending order; the first is at second 0.
    pub steps: Vec<DemandStep>,
}

impl DayDemand {
    /// Builds the demand from the pools and the sheet of the state.
    ///
    /// The initial sizes are the current sizes of the pools, which an operator may have changed
    /// since the last row of the sheet.
    #[must_use]
    pub fn with_state(state: &FleetState, start: DayTime) -> Self {
        let pools: Vec<PoolName> = state.pools.keys().cloned().collect();
        let sizes = state.pools.values().map(|pool| pool.size).collect();
        let mut demand = Self {
            spare: state.pools.values().position(|pool| pool.spare),
            budgets: state
                .pools
                .values()
                .map(|pool| pool.max_unavailable)
                .collect(),
            closing: pools
                .iter()
                .map(|name| state.closing.contains(name))
                .collect(),
            steps: Vec::new(),
            pools,
        };
        demand.push_step(0, sizes);
        demand.read_sheet(state, start);
        demand
    }

    /// Appends a step, or replaces the last step if it is at the same second.
    pub fn push_step(&mut self, second: u32, sizes: Vec<u32>) {
        let desired = sizes.clone();
        let mut needed = sizes;
        if let Some(spare) = self.spare {
            needed[spare] = 0;
        }
        if self.steps.last().is_some_and(|last| last.second == second) {
            self.steps.pop();
        }
        self.steps.push(DemandStep {
            second,
            needed,
            desired,
        });
    }

    fn read_sheet(&mut self, state: &FleetState, start: DayTime) {
        let Some(sheet) = &state.sheet else {
            return;
        };
        let pool_indices: BTreeMap<&PoolName, usize> = state.pools.keys().zip(0..).collect();
        let mut row_counts: BTreeMap<&PoolName, u32> = BTreeMap::new();
        for row in &sheet.rows {
            if let SheetItem::Pool { name, .. } = &row.item {
                *row_counts.entry(name).or_default() += 1;
            }
        }
        let mut seen_pools = BTreeMap::new();
        let mut transitions = Vec::new();
        for row in &sheet.rows {
            let SheetItem::Pool { name, pool } = &row.item else {
                continue;
            };
            let Some(&pool_index) = pool_indices.get(name) else {
                continue;
            };
            if row_counts[name] == 1 {
                continue;
            }
            let second = if seen_pools.insert(name, ()).is_none() {
                0
            } else {
                u32::from(row.minute) * 60
            };
            let offset = (second + SECONDS_PER_DAY - start.second - 1) % SECONDS_PER_DAY + 1;
            transitions.push((offset, pool_index, pool.size));
        }
        transitions.sort_unstable();
        let mut sizes: Vec<u32> = state.pools.values().map(|pool| pool.size).collect();
        for (offset, pool_index, size) in transitions {
            if offset < SECONDS_PER_DAY {
                sizes[pool_index] = size;
                self.push_step(offset, sizes.clone());
            }
        }
    }

    /// Returns the number of instances per pool, in the order of `pools`.
    ///
    /// A moving instance counts for its target pool. A failed instance and one in an evacuated zone
    /// do not count, so that their pools get other instances.
    #[must_use]
    pub fn count_instances(&self, state: &FleetState) -> Vec<u32> {
        let pool_indices: BTreeMap<&PoolName, usize> = self.pools.iter().zip(0..).collect();
        let mut counts = vec![0; self.pools.len()];
        for instance in state.instances.values() {
            let pool = match &instance.state {
                InstanceState::Failed => continue,
                _ if state.is_evacuated(&instance.zone) => continue,
                InstanceState::Moving { target } => target,
                _ => &instance.pool,
            };
            if let Some(&pool_index) = pool_indices.get(pool) {
                counts[pool_index] += 1;
            }
        }
        counts
    }
}
