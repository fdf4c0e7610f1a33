use std::collections::HashMap;
use std::time::Duration;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
use slog::{info, warn};

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use crate::BootClock;
use crate::ports::{FleetPort, InstanceReport, InventoryState};

/// Pause after a failed read. A new owner waits for the first read before it starts tasks that a
/// previous owner may have started.
const READ_RETRY: Duration = Duration::from_millis(300);

/// Age above which the inventory is too old for orders. It is read at least every 2 s and a call
/// has 1.5 s, so an older inventory means that reads fail or are very slow.
const STALE_AGE: Duration = Duration::from_secs(4);

/// The inventory of instances as last read.
#[derive(Debug)]
pub(crate) struct InventoryView {
    pub fleet: FleetPort,
    pub reports: HashMap<InstanceName, InstanceReport>,
    /// When the last read was sent, whether it succeeded or not.
    pub last_read: TimePoint,
    /// When the read that returned these reports was sent; before the first one, when this owner
    /// started.
    reports_read: TimePoint,
    /// Whether the reports are too old for orders.
    is_stale: bool,
    is_reading: bool,
    /// When to read again after a failure.
    retry_at: Option<TimePoint>,
}

impl InventoryView {
    pub(crate) fn new(fleet: FleetPort) -> Self {
        Self {
            fleet,
            reports: HashMap::new(),
            last_read: TimePoint::ORIGIN,
            reports_read: BootClock.now(),
            is_stale: false,
            is_reading: false,
            retry_at: None,
        }
    }

    /// Whether the reports are recent enough to base orders for instances on.
    pub(super) fn is_usable(&self) -> bool {
        !self.is_stale && !self.reports.is_empty()
    }
}

impl OwnerActor {
    /// Reads the inventory if it is older than the policy allows. It is read more often while
    /// instances are moving or under maintenance, and once when an instance should have arrived.
    pub(super) fn read_inventory(&mut self, is_moving: bool, now: TimePoint) {
        let period = if is_moving {
            self.parts.policy.inventory_period
        } else {
            self.parts.policy.idle_inventory_period
        };
        let is_due = match self.inventory.retry_at {
            Some(retry) => retry <= now,
            None => now.since(self.inventory.last_read) >= period || self.has_due_arrivals(now),
        };
        if self.inventory.is_reading || !is_due {
            return;
        }
        self.inventory.is_reading = true;
        self.inventory.last_read = now;
        let call = (self.inventory.fleet.list)(());
        self.spawn_call(call, move |outcome| OwnerEvent::Inventory {
            sent: now,
            outcome,
        });
    }

    pub(super) fn handle_inventory(
        &mut self,
        sent: TimePoint,
        outcome: Result<Vec<InstanceReport>>,
    ) {
        self.inventory.is_reading = false;
        match outcome {
            Ok(reports) => {
                self.inventory.retry_at = None;
                self.inventory.reports_read = sent;
                let reports = reports.into_iter();
                self.inventory.reports = reports
                    .map(|report| (report.name.clone(), report))
                    .collect();
                self.report_active_workers();
                self.finish_maintenance(sent);
                self.close_absent_instances(sent);
                self.finish_moves(sent);
            }
            Err(error) => {
                self.inventory.retry_at = Some(BootClock.now().after(READ_RETRY));
                warn!(self.parts.logger, "could not read the inventory"; "error" => %error);
            }
        }
    }

    /// Records the age of the inventory, and pauses orders for instances while it is stale.
    pub(super) fn note_inventory_age(&mut self, now: TimePoint) {
        let age = now.since(self.inventory.reports_read);
        self.parts.metrics.set_inventory_age(age);
        let is_stale = age > STALE_AGE;
        if is_stale == self.inventory.is_stale {
            return;
        }
        self.inventory.is_stale = is_stale;
        let age_ms = age.as_millis();
        if is_stale {
            warn!(self.parts.logger, "pausing orders for instances: inventory is stale"; "inventory_age_ms" => age_ms);
        } else {
            info!(self.parts.logger, "resuming orders for instances"; "inventory_age_ms" => age_ms);
        }
    }

    fn report_active_workers(&mut self) {
        let reports = self.inventory.reports.values();
        let up = reports.filter(|report| report.state == InventoryState::Up);
        let up = up.filter_map(|report| Some((report.worker.clone()?, report.pool.clone())));
        self.dispatcher.note_inventory(up.collect());
    }

    /// Whether nothing runs on an instance; none if that is not known.
    pub(super) fn is_instance_empty(&self, instance: &InstanceName) -> Option<bool> {
        let report = self.inventory.reports.get(instance)?;
        let is_off = report.worker.is_none();
        if is_off && Some(&report.pool) != self.spare_pool().as_ref() {
            // The worker has not registered yet.
            return None;
        }
        self.dispatcher
            .is_instance_idle(instance, report.worker.as_ref())
    }

    /// Worker of an instance, if the inventory shows one.
    pub(super) fn worker_of(&self, instance: &InstanceName) -> Option<InstanceName> {
        self.inventory.reports.get(instance)?.worker.clone()
    }
}
