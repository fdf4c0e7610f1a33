//! Maintenance orders, their answers, and the stored progress of waves.

use std::collections::HashSet;
use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_store::Result;
use slog::{error, info, warn};

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use super::record_writer::put;
use super::wave_progress::{MaintainedInstance, MaintenanceClaim};
use super::wave_runner::wave_key;
use crate::BootClock;
use crate::ports::{
    InstanceOrder, OrderOutcome, RowChange, RowCondition, RowName, StoreTable, TransactOutcome,
};
use crate::row_codec::{WaveRow, encode_row};

/// Pause after an order that was not accepted.
const ORDER_RETRY: Duration = Duration::from_millis(400);

impl OwnerActor {
    pub(super) fn order_maintenance(&mut self, wave: u64, instance: InstanceName) {
        let progress = self.wave_runner.waves.entry(wave).or_default();
        progress
            .claimed
            .insert(instance.clone(), MaintenanceClaim::Ordering);
        let order = InstanceOrder {
            instance: instance.clone(),
            holder: self.parts.node.clone(),
            fence: self.parts.lease.epoch,
            pool: None,
            wave: Some(wave),
        };
        let call = (self.inventory.fleet.order)(order);
        self.spawn_call(call, move |outcome| OwnerEvent::MaintenanceOrdered {
            wave,
            instance,
            outcome,
        });
    }

    pub(super) fn handle_maintenance_result(
        &mut self,
        wave: u64,
        instance: &InstanceName,
        outcome: Result<OrderOutcome>,
    ) {
        let now = BootClock.now();
        info!(self.parts.logger, "maintenance ordered"; "wave" => wave, "instance" => %instance, "epoch" => self.parts.lease.epoch, "outcome" => ?outcome);
        let progress = self.wave_runner.waves.entry(wave).or_default();
        match outcome {
            Ok(OrderOutcome::Accepted) => {
                progress.claimed.remove(instance);
                progress.done.insert(instance.clone());
                progress
                    .under_maintenance
                    .insert(instance.clone(), MaintainedInstance::new(now));
                self.queue_progress(wave);
            }
            Ok(OrderOutcome::Fenced) => self.step_down("an instance has seen a later epoch"),
            Ok(OrderOutcome::Refused) => {
                progress.claimed.remove(instance);
                progress.done.insert(instance.clone());
                if let Some(worker) = self.worker_of(instance) {
                    self.dispatcher.set_evacuating(&worker, false);
                }
                self.queue_progress(wave);
            }
            Ok(OrderOutcome::Busy) | Err(_) => {
                let due = MaintenanceClaim::Due(now.after(ORDER_RETRY));
                progress.claimed.insert(instance.clone(), due);
            }
        }
    }

    pub(super) fn queue_progress(&mut self, wave: u64) {
        let Some(progress) = self.wave_runner.waves.get(&wave) else {
            return;
        };
        let sorted = |names: Vec<&InstanceName>| {
            let mut names: Vec<InstanceName> = names.into_iter().cloned().collect();
            names.sort();
            names
        };
        // Instances that the operator has taken out of the wave are left out, so that the progress is
        // no larger than the operator's list.
        let requested = self.wave_runner.requested.load();
        let entry = requested.values().find(|(entry, _)| entry.number == wave);
        let listed: Option<HashSet<&InstanceName>> =
            entry.map(|(entry, _)| entry.instances.iter().collect());
        let is_stored = |name: &&InstanceName| {
            let is_listed = listed.as_ref().is_none_or(|listed| listed.contains(name));
            is_listed || progress.under_maintenance.contains_key(*name)
        };
        let content = WaveRow {
            done: sorted(progress.done.iter().filter(is_stored).collect()),
            claimed: sorted(progress.claimed.keys().collect()),
        };
        match encode_row(&content) {
            Ok(value) => {
                let row = RowName::new(StoreTable::Writer, wave_key(wave));
                self.writer.queue_row(put(row, value));
            }
            // Claims that are not stored are not ordered.
            Err(error) => {
                error!(self.parts.logger, "wave stands still: its progress exceeds a row"; "wave" => wave, "done" => content.done.len(), "claimed" => content.claimed.len(), "error" => %error);
            }
        }
    }

    pub(super) fn write_status(&mut self, wave: u64, is_finished: bool) {
        let progress = self.wave_runner.waves.entry(wave).or_default();
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
        progress.sent_status = Some(is_finished);
        let call = (self.parts.store.transact)(change);
        self.spawn_call(call, move |outcome| OwnerEvent::StatusWritten {
            wave,
            outcome,
        });
    }

    pub(super) fn handle_status_result(&mut self, wave: u64, outcome: Result<TransactOutcome>) {
        let progress = self.wave_runner.waves.entry(wave).or_default();
        progress.is_writing_status = false;
        match outcome {
            Ok(TransactOutcome::Committed { version }) => progress.status_version = version,
            Ok(TransactOutcome::Conflict { rows }) => {
                progress.status_version = rows.first().map_or(0, |(_, row)| row.version);
                progress.sent_status = None;
            }
            Err(error) => {
                progress.sent_status = None;
                warn!(self.parts.logger, "could not write the wave status"; "wave" => wave, "error" => %error);
            }
        }
    }
}
