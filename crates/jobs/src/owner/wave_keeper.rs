use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::{MaintenanceWave, UpkeepChoice, next_upkeep};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
use slog::{info, warn};

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use super::record_writer::put;
use crate::BootClock;
use crate::feeds::WaveList;
use crate::ports::{
    InstanceOrder, InstanceState, OrderOutcome, RowChange, RowCondition, RowName, RowPut,
    StoreTable, TransactOutcome,
};
use crate::row_codec::{WaveRow, decode, encode};

/// Instances that are emptied beyond the wave's limit, so that one is ready when another returns.
const EMPTIED_AHEAD: usize = 1;

/// Time after which an instance whose worker does not answer is maintained all the same. What it
/// ran has lost its lease by then.
const UNKNOWN_PATIENCE: Duration = Duration::from_secs(7);

/// Pause after an order that was not accepted.
const ORDER_RETRY: Duration = Duration::from_millis(400);

/// State of the order for an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpkeepClaim {
    /// The claim is not stored yet. An order before that could be unknown to a successor.
    Unstored,
    /// An earlier owner may have sent the order. It is sent again once the instance is empty.
    Inherited(TimePoint),
    /// The order is due.
    Due(TimePoint),
    /// The order is under way.
    Ordering,
}

/// Progress of a wave.
#[derive(Debug, Default)]
struct WaveProgress {
    /// Instances whose maintenance has begun, or that are no longer part of the wave.
    done: HashSet<InstanceName>,
    /// Instances that are emptied, and since when.
    emptied: HashMap<InstanceName, TimePoint>,
    /// Instances that are down, and when their order was accepted.
    out: HashMap<InstanceName, TimePoint>,
    /// Instances whose order was sent or is about to be. They count as down until the order has an
    /// answer.
    claimed: HashMap<InstanceName, UpkeepClaim>,
    status_version: u64,
    is_writing_status: bool,
    written: Option<bool>,
}

/// Carries out maintenance waves.
#[derive(Debug)]
pub(crate) struct WaveKeeper {
    wanted: WaveList,
    waves: BTreeMap<u64, WaveProgress>,
    next_round: TimePoint,
}

impl WaveKeeper {
    pub(crate) fn new(wanted: WaveList) -> Self {
        Self {
            wanted,
            waves: BTreeMap::new(),
            next_round: TimePoint::ORIGIN,
        }
    }

    /// Restores the progress of a wave. Claimed instances are ordered again, which changes nothing
    /// if the earlier order took effect.
    pub(crate) fn restore(&mut self, wave: u64, row: WaveRow, now: TimePoint) {
        let progress = self.waves.entry(wave).or_default();
        // Whether they are back shows in the inventory.
        progress.out = row.done.iter().map(|name| (name.clone(), now)).collect();
        progress.done.extend(row.done);
        let claimed = row.claimed.into_iter();
        progress.claimed = claimed
            .map(|name| (name, UpkeepClaim::Inherited(now)))
            .collect();
    }
}

pub(crate) fn wave_key(wave: u64) -> String {
    format!("wave/{wave}")
}

impl OwnerActor {
    pub(super) fn wave_round(&mut self, now: TimePoint) {
        if now < self.waves.next_round {
            return;
        }
        self.waves.next_round = now.after(self.parts.policy.wave_round);
        // Orders for instances are not fenced by the store: they need a fresh renewal.
        let policy = &self.parts.policy;
        let limit = policy.expiry.saturating_sub(policy.renewal);
        if !self.parts.lease.is_younger(limit) {
            return;
        }
        let wanted = self.waves.wanted.load_full();
        let mut is_moving = self.has_moves();
        for (wave, _) in wanted.values() {
            is_moving |= self.step_wave(wave, now);
        }
        self.size_pools(now);
        self.read_inventory(is_moving, now);
    }

    /// Whether an instance is part of a wave that has not maintained it yet, and is being emptied.
    pub(super) fn is_emptied(&self, instance: &InstanceName) -> bool {
        let mut waves = self.waves.waves.values();
        waves.any(|progress| {
            progress.emptied.contains_key(instance) || progress.claimed.contains_key(instance)
        })
    }

    /// Continues a wave; false once it is finished.
    fn step_wave(&mut self, wave: &MaintenanceWave, now: TimePoint) -> bool {
        let progress = self.waves.waves.entry(wave.number).or_default();
        let is_finished = wave
            .instances
            .iter()
            .all(|name| progress.done.contains(name));
        let is_written = progress.written == Some(is_finished);
        if !is_written && !progress.is_writing_status {
            self.write_status(wave.number, is_finished);
        }
        if is_finished {
            return !is_written;
        }
        if self.inventory.reports.is_empty() {
            return true;
        }
        self.empty_next(wave, now);
        self.order_empty(wave, now);
        true
    }

    /// Begins to empty instances.
    fn empty_next(&mut self, wave: &MaintenanceWave, now: TimePoint) {
        loop {
            let progress = &self.waves.waves[&wave.number];
            let is_open = |name: &&InstanceName| {
                !progress.done.contains(*name)
                    && !progress.emptied.contains_key(*name)
                    && !progress.claimed.contains_key(*name)
            };
            let open = wave.instances.iter().filter(is_open);
            let choices: Vec<UpkeepChoice> = open
                .filter_map(|name| self.upkeep_choice(name, now))
                .collect();
            let out = progress.out.len() + progress.emptied.len() + progress.claimed.len();
            let Some(choice) = next_upkeep(wave.limit + EMPTIED_AHEAD, out, &choices) else {
                return;
            };
            let name = choice.instance.clone();
            info!(self.parts.logger, "instance is emptied"; "wave" => wave.number, "instance" => %name, "cpu_in_use" => choice.cpu_in_use, "out" => out);
            if let Some(worker) = self.worker_of(&name) {
                self.dispatcher.set_evacuating(&worker, true);
            }
            let progress = self.waves.waves.entry(wave.number).or_default();
            progress.emptied.insert(name, now);
        }
    }

    fn upkeep_choice(&self, name: &InstanceName, now: TimePoint) -> Option<UpkeepChoice> {
        let report = self.inventory.reports.get(name)?;
        if report.state != InstanceState::Up || self.is_moving(name) {
            return None;
        }
        let idle = || UpkeepChoice {
            instance: name.clone(),
            is_evacuating: false,
            is_blocked: false,
            cpu_in_use: 0,
        };
        match self.worker_of(name) {
            Some(worker) => self.dispatcher.upkeep_choice(&worker, name.clone(), now),
            // An instance that is switched off.
            None => Some(idle()),
        }
    }

    /// Claims empty instances, within the limit of the wave, and sends the orders that are due.
    fn order_empty(&mut self, wave: &MaintenanceWave, now: TimePoint) {
        let progress = &self.waves.waves[&wave.number];
        let busy = progress.out.len() + progress.claimed.len();
        let mut ready: Vec<InstanceName> = progress
            .emptied
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
                UpkeepClaim::Inherited(since) => Some((name.clone(), *since)),
                _ => None,
            });
        let inherited: Vec<(InstanceName, TimePoint)> = inherited.collect();
        for (name, since) in inherited {
            if let Some(worker) = self.worker_of(&name) {
                self.dispatcher.set_evacuating(&worker, true);
            }
            if self.is_ready(&name, now.since(since)) {
                let progress = self.waves.waves.entry(wave.number).or_default();
                progress.claimed.insert(name, UpkeepClaim::Due(now));
            }
        }
        let progress = self.waves.waves.entry(wave.number).or_default();
        for name in &ready {
            progress.emptied.remove(name);
            progress.claimed.insert(name.clone(), UpkeepClaim::Unstored);
        }
        let claims = progress.claimed.iter();
        let due = claims.filter(|(_, claim)| matches!(claim, UpkeepClaim::Due(at) if *at <= now));
        let due: Vec<InstanceName> = due.map(|(name, _)| name.clone()).collect();
        if !ready.is_empty() {
            self.store_progress(wave.number);
        }
        for name in due {
            self.order_upkeep(wave.number, name);
        }
    }

    /// Notes which claims are stored.
    pub(super) fn note_wave_rows(&mut self, rows: &[RowPut]) {
        let now = BootClock.now();
        for entry in rows {
            let number = entry.row.key.strip_prefix("wave/");
            let number = number.and_then(|number| number.parse().ok());
            let Some(progress) = number.and_then(|number: u64| self.waves.waves.get_mut(&number))
            else {
                continue;
            };
            let row: WaveRow = match decode(&entry.value) {
                Ok(row) => row,
                Err(error) => {
                    warn!(self.parts.logger, "row left out"; "key" => %entry.row.key, "error" => %error);
                    continue;
                }
            };
            for name in &row.claimed {
                if let Some(claim) = progress.claimed.get_mut(name)
                    && *claim == UpkeepClaim::Unstored
                {
                    *claim = UpkeepClaim::Due(now);
                }
            }
        }
    }

    /// Whether nothing runs on an instance that is emptied since `age`.
    fn is_ready(&self, instance: &InstanceName, age: Duration) -> bool {
        self.is_instance_empty(instance)
            .unwrap_or(age > UNKNOWN_PATIENCE)
    }

    fn order_upkeep(&mut self, wave: u64, instance: InstanceName) {
        let progress = self.waves.waves.entry(wave).or_default();
        progress
            .claimed
            .insert(instance.clone(), UpkeepClaim::Ordering);
        let order = InstanceOrder {
            instance: instance.clone(),
            holder: self.parts.node.clone(),
            fence: self.parts.lease.epoch,
            pool: None,
            wave: Some(wave),
        };
        let call = (self.inventory.fleet.order)(order);
        let owner = self.sender.owner.clone();
        tokio::spawn(async move {
            let outcome = call.await;
            let event = OwnerEvent::Maintained {
                wave,
                instance,
                outcome,
            };
            // The owner has gone when the ownership was lost.
            drop(owner.send(event).await);
        });
    }

    pub(super) fn take_maintained(
        &mut self,
        wave: u64,
        instance: &InstanceName,
        outcome: Result<OrderOutcome>,
    ) {
        let now = BootClock.now();
        info!(self.parts.logger, "maintenance ordered"; "wave" => wave, "instance" => %instance, "epoch" => self.parts.lease.epoch, "outcome" => ?outcome);
        let progress = self.waves.waves.entry(wave).or_default();
        match outcome {
            Ok(OrderOutcome::Accepted) => {
                progress.claimed.remove(instance);
                progress.done.insert(instance.clone());
                progress.out.insert(instance.clone(), now);
                self.store_progress(wave);
            }
            Ok(OrderOutcome::Fenced) => self.step_down("an instance has seen a later epoch"),
            Ok(OrderOutcome::Refused) => {
                progress.claimed.remove(instance);
                progress.done.insert(instance.clone());
                if let Some(worker) = self.worker_of(instance) {
                    self.dispatcher.set_evacuating(&worker, false);
                }
                self.store_progress(wave);
            }
            Ok(OrderOutcome::Busy) | Err(_) => {
                let due = UpkeepClaim::Due(now.after(ORDER_RETRY));
                progress.claimed.insert(instance.clone(), due);
            }
        }
    }

    fn store_progress(&mut self, wave: u64) {
        let Some(progress) = self.waves.waves.get(&wave) else {
            return;
        };
        let sorted = |names: Vec<&InstanceName>| {
            let mut names: Vec<InstanceName> = names.into_iter().cloned().collect();
            names.sort();
            names
        };
        let content = WaveRow {
            done: sorted(progress.done.iter().collect()),
            claimed: sorted(progress.claimed.keys().collect()),
        };
        let row = RowName::new(StoreTable::Writer, wave_key(wave));
        self.writer.add(put(row, encode(&content)));
    }

    /// Notes which instances are back.
    pub(super) fn settle_waves(&mut self, sent: TimePoint) {
        let inventory = &self.inventory.reports;
        for progress in self.waves.waves.values_mut() {
            progress.out.retain(|name, since| {
                let report = inventory.get(name);
                let is_back = report.is_none_or(|report| report.state == InstanceState::Up);
                *since >= sent || !is_back
            });
        }
    }

    fn write_status(&mut self, wave: u64, is_finished: bool) {
        let progress = self.waves.waves.entry(wave).or_default();
        progress.is_writing_status = true;
        let (key, value) = (self.parts.rows.wave_status)(wave, is_finished);
        let row = RowName::new(StoreTable::WaveStatus, key);
        let change = RowChange {
            conditions: vec![RowCondition {
                row: row.clone(),
                version: progress.status_version,
            }],
            puts: vec![put(row, value)],
            deletes: Vec::new(),
        };
        info!(self.parts.logger, "wave status"; "wave" => wave, "is_finished" => is_finished, "done" => progress.done.len());
        progress.written = Some(is_finished);
        let call = (self.parts.store.transact)(change);
        let owner = self.sender.owner.clone();
        tokio::spawn(async move {
            let outcome = call.await;
            // The owner has gone when the ownership was lost.
            drop(
                owner
                    .send(OwnerEvent::StatusWritten { wave, outcome })
                    .await,
            );
        });
    }

    pub(super) fn take_status(&mut self, wave: u64, outcome: Result<TransactOutcome>) {
        let progress = self.waves.waves.entry(wave).or_default();
        progress.is_writing_status = false;
        match outcome {
            Ok(TransactOutcome::Committed { version }) => progress.status_version = version,
            Ok(TransactOutcome::Conflict { rows }) => {
                progress.status_version = rows.first().map_or(0, |(_, row)| row.version);
                progress.written = None;
            }
            Err(error) => {
                progress.written = None;
                warn!(self.parts.logger, "wave status not written"; "wave" => wave, "error" => %error);
            }
        }
    }
}
