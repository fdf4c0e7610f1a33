//! Expected room on the racks of the pools, as collected once in a planning round.

use std::collections::HashMap;

use compact_str::CompactString;

use super::JobDispatcher;
use crate::ids::{PoolName, TeamName};
use crate::jobs::rack_outlook::{RackOutlook, RackPlace, RackWorker};
use crate::jobs::{ResourceAmount, StepName, StepSpec, WorkerKey};
use crate::time::TimePoint;

/// What decisions on waits in one pool go by in a planning round.
#[derive(Debug, Default)]
pub(super) struct PoolOutlook {
    /// Share of the processor capacity that is in use, from 0 to 1.
    pub(super) occupancy: f64,
    keys_by_label: HashMap<CompactString, Vec<WorkerKey>>,
    /// Racks that a task of this round prefers.
    pub(super) racks: HashMap<CompactString, RackOutlook>,
}

impl JobDispatcher {
    /// Collects what decisions in a pool go by, unless that was done in this round.
    pub(super) fn prepare_outlook(
        &mut self,
        pool: &PoolName,
        workers: &[WorkerKey],
        now: TimePoint,
    ) {
        if self.placement_waits.round != Some(now) {
            self.placement_waits.round = Some(now);
            self.placement_waits.pools.clear();
        }
        if self.placement_waits.pools.contains_key(pool) {
            return;
        }
        let mut outlook = PoolOutlook::default();
        let (mut used, mut capacity) = (0_u64, 0_u64);
        for &key in workers {
            let entry = &self.workers[key];
            used = used.saturating_add(entry.used.cpu_millis);
            capacity = capacity.saturating_add(entry.report.capacity.cpu_millis);
            for label in &entry.report.labels {
                let keys = outlook.keys_by_label.entry(label.clone()).or_default();
                keys.push(key);
            }
        }
        #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
        let occupancy = used as f64 / capacity.max(1) as f64;
        outlook.occupancy = occupancy;
        self.placement_waits.pools.insert(pool.clone(), outlook);
    }

    /// Collects when the workers of a rack are expected to have room, unless that was done in this
    /// round. Does nothing if the rack has no usable worker in the pool.
    pub(super) fn prepare_rack(
        &self,
        outlook: &mut PoolOutlook,
        rack: &CompactString,
        now: TimePoint,
    ) {
        if outlook.racks.contains_key(rack) {
            return;
        }
        let Some(keys) = outlook.keys_by_label.get(rack) else {
            return;
        };
        let warm = keys.iter().copied().filter(|key| {
            let entry = &self.workers[*key];
            !entry.health.is_on_trial() && now >= entry.cold_until
        });
        let workers = warm.map(|key| self.rack_worker(key, now)).collect();
        outlook.racks.insert(rack.clone(), RackOutlook { workers });
    }

    fn rack_worker(&self, key: WorkerKey, now: TimePoint) -> RackWorker {
        let entry = &self.workers[key];
        let releases = self.expected_releases(key, now);
        RackWorker::new(key, entry.report.capacity, entry.used, releases)
    }

    /// Returns where a task of a step, or all tasks of a gang, are expected to start on a rack.
    pub(super) fn find_place(
        &self,
        rack: &RackOutlook,
        step: StepName,
        spec: &StepSpec,
        now: TimePoint,
    ) -> Option<RackPlace> {
        let is_allowed = self.allowed_workers(step, spec, now);
        let in_use = |key: WorkerKey| {
            let is_open = !self.reservations.contains(key) && is_allowed(key);
            is_open.then(|| self.workers[key].used)
        };
        if spec.is_gang {
            let max = spec.max_per_worker.unwrap_or(u16::MAX);
            rack.find_gang(spec.worker_amount(), (spec.count, max), in_use)
        } else {
            rack.find(spec.worker_amount(), in_use)
        }
    }

    /// Returns the rack that is expected to have room for a gang first.
    pub(super) fn first_rack(
        &self,
        step: StepName,
        spec: &StepSpec,
        workers: &[WorkerKey],
        outlook: &mut PoolOutlook,
        now: TimePoint,
    ) -> Option<CompactString> {
        let racks = workers.iter().filter_map(|&key| self.rack_of(key));
        let mut racks: Vec<CompactString> = racks.cloned().collect();
        racks.sort_unstable();
        racks.dedup();
        let timed = racks.into_iter().filter_map(|rack| {
            self.prepare_rack(outlook, &rack, now);
            let place = self.find_place(outlook.racks.get(&rack)?, step, spec, now)?;
            Some((place.start(), rack))
        });
        timed.min().map(|(_, rack)| rack)
    }

    /// Whether all tasks of a gang could start on `workers` now.
    pub(super) fn fits_gang(
        &self,
        step: StepName,
        spec: &StepSpec,
        team: Option<&TeamName>,
        workers: &[WorkerKey],
        now: TimePoint,
    ) -> bool {
        let mut others = ResourceAmount::default();
        (1..spec.count).for_each(|_| others += spec.amount);
        if !self.is_within_limit_beside(team, others, spec.amount) {
            return false;
        }
        let is_allowed = self.allowed_workers(step, spec, now);
        let max = spec.max_per_worker.unwrap_or(u16::MAX);
        let mut missing = spec.count;
        for &key in workers {
            let mut room = self.workers[key].room();
            let mut open = if is_allowed(key) { max } else { 0 };
            while open > 0 && missing > 0 && spec.worker_amount().fits(room) {
                room -= spec.worker_amount();
                open -= 1;
                missing -= 1;
            }
            if missing == 0 {
                return true;
            }
        }
        false
    }

    /// Label that names the rack of a worker.
    pub(super) fn rack_of(&self, key: WorkerKey) -> Option<&CompactString> {
        self.workers[key].report.labels.last()
    }
}
