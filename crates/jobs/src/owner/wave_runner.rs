use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::{
    MaintenanceCandidate, MaintenanceWave, evacuation_limit, next_candidate,
};
use sesamedeal_core::time::TimePoint;
use slog::{info, warn};

use super::owner_actor::OwnerActor;
use super::wave_progress::{MaintainedInstance, MaintenanceClaim, WaveProgress};
use crate::BootClock;
use crate::feeds::WaveList;
use crate::ports::{InventoryState, RowPut};
use crate::row_codec::{WaveRow, decode};

/// Time after which an instance is maintained even if its worker does not answer. The lease of its
/// tasks has expired by then.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(7);

/// Carries out maintenance waves.
#[derive(Debug)]
pub(crate) struct WaveRunner {
    pub(super) requested: WaveList,
    pub(super) waves: BTreeMap<u64, WaveProgress>,
    next_round: TimePoint,
}

impl WaveRunner {
    pub(crate) fn new(requested: WaveList) -> Self {
        Self {
            requested,
            waves: BTreeMap::new(),
            next_round: TimePoint::ORIGIN,
        }
    }

    /// Restores the stored progress of a wave. Claimed instances are ordered again, which changes
    /// nothing if the earlier order took effect.
    pub(crate) fn restore(&mut self, wave: u64, row: WaveRow, now: TimePoint) {
        let progress = self.waves.entry(wave).or_default();
        // The inventory shows whether they are back.
        progress.under_maintenance = row
            .done
            .iter()
            .map(|name| (name.clone(), MaintainedInstance::new(now)))
            .collect();
        progress.done.extend(row.done);
        let claimed = row.claimed.into_iter();
        progress.claimed = claimed
            .map(|name| (name, MaintenanceClaim::Inherited(now)))
            .collect();
    }
}

pub(crate) fn wave_key(wave: u64) -> String {
    format!("wave/{wave}")
}

impl OwnerActor {
    pub(super) fn run_waves(&mut self, now: TimePoint) {
        if now < self.wave_runner.next_round {
            return;
        }
        self.wave_runner.next_round = now.after(self.parts.policy.wave_period);
        // The store does not fence orders for instances, so they need a recent renewal.
        let policy = &self.parts.policy;
        let limit = policy.expiry.saturating_sub(policy.renewal);
        let is_leaving = self.is_handing_over() || self.health.is_late || !self.is_complete();
        if !self.parts.lease.is_recent(limit) || is_leaving {
            return;
        }
        let requested = self.wave_runner.requested.load_full();
        let mut is_moving = self.has_moves();
        for (wave, since) in requested.values() {
            let age = since.map(|since| now.since(since));
            is_moving |= self.advance_wave(wave, age, now);
        }
        self.scale_pools(now);
        self.read_inventory(is_moving, now);
    }

    /// Whether a wave is evacuating an instance, or has claimed it for maintenance.
    pub(super) fn is_evacuating(&self, instance: &InstanceName) -> bool {
        let mut waves = self.wave_runner.waves.values();
        waves.any(|progress| {
            progress.evacuating.contains_key(instance) || progress.claimed.contains_key(instance)
        })
    }

    /// Advances a wave. Returns false once it is finished.
    fn advance_wave(
        &mut self,
        wave: &MaintenanceWave,
        age: Option<Duration>,
        now: TimePoint,
    ) -> bool {
        let progress = self.wave_runner.waves.entry(wave.number).or_default();
        let is_finished = wave
            .instances
            .iter()
            .all(|name| progress.done.contains(name));
        let is_written = progress.sent_status == Some(is_finished);
        if !is_written && !progress.is_writing_status {
            self.write_status(wave.number, is_finished);
        }
        if is_finished {
            return !is_written;
        }
        if !self.inventory.is_usable() {
            return true;
        }
        self.mark_workers(wave);
        self.evacuate_next(wave, age, now);
        self.order_evacuated(wave, now);
        true
    }

    /// Marks the workers of instances that wait for maintenance, so that long-running tasks leave
    /// them, and those that are being evacuated, which may have been missing from the list.
    fn mark_workers(&mut self, wave: &MaintenanceWave) {
        let progress = &self.wave_runner.waves[&wave.number];
        let open = wave
            .instances
            .iter()
            .filter(|name| !progress.done.contains(*name));
        let workers: Vec<(InstanceName, bool)> = open
            .filter_map(|name| {
                let worker = self.worker_of(name)?;
                Some((worker, progress.evacuating.contains_key(name)))
            })
            .collect();
        for (worker, is_evacuating) in workers {
            self.dispatcher.set_maintenance_due(&worker, true);
            if is_evacuating {
                self.dispatcher.set_evacuating(&worker, true);
            }
        }
    }

    /// Starts to evacuate instances, as many as the wave allows.
    fn evacuate_next(&mut self, wave: &MaintenanceWave, age: Option<Duration>, now: TimePoint) {
        let waiting = OnceCell::new();
        loop {
            let progress = &self.wave_runner.waves[&wave.number];
            let is_open = |name: &&InstanceName| {
                !progress.done.contains(*name)
                    && !progress.evacuating.contains_key(*name)
                    && !progress.claimed.contains_key(*name)
            };
            let open = wave.instances.iter().filter(is_open);
            let candidates: Vec<MaintenanceCandidate> = open
                .filter_map(|name| self.maintenance_candidate(name, now))
                .collect();
            let unavailable = progress.under_maintenance.len()
                + progress.evacuating.len()
                + progress.claimed.len();
            let limit = evacuation_limit(
                wave,
                candidates.len() + unavailable,
                age,
                self.pool_scaler.has_shortage,
            );
            let may_leave = |candidate: &MaintenanceCandidate| {
                let worker = self.worker_of(&candidate.instance);
                let waiting = waiting.get_or_init(|| self.dispatcher.waiting_long_running(now));
                worker.is_none_or(|worker| self.dispatcher.can_spare(&worker, waiting, now))
            };
            let candidate = next_candidate(limit, unavailable, &candidates, may_leave);
            let Some(candidate) = candidate else {
                return;
            };
            let name = candidate.instance.clone();
            info!(self.parts.logger, "evacuating instance"; "wave" => wave.number, "instance" => %name, "cpu_in_use" => candidate.cpu_in_use, "out" => unavailable);
            if let Some(worker) = self.worker_of(&name) {
                self.dispatcher.set_evacuating(&worker, true);
            }
            let progress = self.wave_runner.waves.entry(wave.number).or_default();
            progress.evacuating.insert(name, now);
        }
    }

    fn maintenance_candidate(
        &self,
        name: &InstanceName,
        now: TimePoint,
    ) -> Option<MaintenanceCandidate> {
        let report = self.inventory.reports.get(name)?;
        if report.state != InventoryState::Up || self.is_moving(name) {
            return None;
        }
        let idle = |is_unlisted| MaintenanceCandidate {
            instance: name.clone(),
            is_unlisted,
            is_evacuating: false,
            is_blocked: false,
            is_last_usable: false,
            has_long_running: false,
            cpu_in_use: 0,
        };
        match self.worker_of(name) {
            Some(worker) => self
                .dispatcher
                .maintenance_candidate(&worker, name.clone(), now)
                .or_else(|| Some(idle(true))),
            // The instance is switched off.
            None => Some(idle(false)),
        }
    }

    /// Claims empty instances within the limit of the wave, and sends the orders that are due.
    fn order_evacuated(&mut self, wave: &MaintenanceWave, now: TimePoint) {
        let progress = &self.wave_runner.waves[&wave.number];
        let busy = progress.under_maintenance.len() + progress.claimed.len();
        let mut ready: Vec<InstanceName> = progress
            .evacuating
            .iter()
            .filter(|(name, since)| self.is_ready(name, now.since(**since)))
            .map(|(name, _)| name.clone())
            .collect();
        ready.sort();
        ready.truncate(wave.limit.saturating_sub(busy));
        let inherited = progress
            .claimed
            .iter()
            .filter_map(|(name, claim)| match claim {
                MaintenanceClaim::Inherited(since) => Some((name.clone(), *since)),
                _ => None,
            });
        let inherited: Vec<(InstanceName, TimePoint)> = inherited.collect();
        for (name, since) in inherited {
            if let Some(worker) = self.worker_of(&name) {
                self.dispatcher.set_evacuating(&worker, true);
            }
            if self.is_ready(&name, now.since(since)) {
                let progress = self.wave_runner.waves.entry(wave.number).or_default();
                progress.claimed.insert(name, MaintenanceClaim::Due(now));
            }
        }
        let progress = self.wave_runner.waves.entry(wave.number).or_default();
        for name in &ready {
            progress.evacuating.remove(name);
            progress
                .claimed
                .insert(name.clone(), MaintenanceClaim::Unstored);
        }
        let claims = progress.claimed.iter();
        let due =
            claims.filter(|(_, claim)| matches!(claim, MaintenanceClaim::Due(at) if *at <= now));
        let due: Vec<InstanceName> = due.map(|(name, _)| name.clone()).collect();
        if !ready.is_empty() {
            self.queue_progress(wave.number);
        }
        for name in due {
            self.order_maintenance(wave.number, name);
        }
    }

    /// Marks the claims that are stored as due.
    pub(super) fn confirm_claims(&mut self, rows: &[RowPut]) {
        let now = BootClock.now();
        for entry in rows {
            let number = entry.row.key.strip_prefix("wave/");
            let number = number.and_then(|number| number.parse().ok());
            let Some(progress) =
                number.and_then(|number: u64| self.wave_runner.waves.get_mut(&number))
            else {
                continue;
            };
            let row: WaveRow = match decode(&entry.value) {
                Ok(row) => row,
                Err(error) => {
                    warn!(self.parts.logger, "skipped unusable row"; "key" => %entry.row.key, "error" => %error);
                    continue;
                }
            };
            for name in &row.claimed {
                if let Some(claim) = progress.claimed.get_mut(name)
                    && *claim == MaintenanceClaim::Unstored
                {
                    *claim = MaintenanceClaim::Due(now);
                }
            }
        }
    }

    /// Whether nothing runs on an instance that has been evacuating for `age`.
    fn is_ready(&self, instance: &InstanceName, age: Duration) -> bool {
        self.is_instance_empty(instance)
            .unwrap_or(age > UNREACHABLE_TIMEOUT)
    }
}
