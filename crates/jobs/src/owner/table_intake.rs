//! Handles changes of the tables that the owner follows.

use std::collections::HashSet;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::WorkerKey;
use sesamedeal_core::time::TimePoint;
use slog::{info, warn};

use super::owner_actor::OwnerActor;
use crate::BootClock;
use crate::feeds::TableEvent;
use crate::ports::StoreRow;

impl OwnerActor {
    /// Loads rows of the job table. While renewals fail, new jobs are held back because a successor
    /// may run them.
    pub(super) fn handle_job_rows(&mut self, event: TableEvent) {
        let TableEvent {
            rows,
            is_snapshot,
            position,
        } = event;
        let policy = &self.parts.policy;
        if is_snapshot && !self.is_loaded {
            info!(self.parts.logger, "jobs loaded"; "rows" => rows.len());
            self.intake.apply_rows(rows, &mut self.dispatcher);
            self.intake.position = position;
            self.is_loaded = true;
        } else if self
            .parts
            .lease
            .is_recent(policy.expiry.saturating_sub(policy.renewal))
        {
            self.intake.apply_rows(rows, &mut self.dispatcher);
            self.intake.position = position.or(self.intake.position);
        } else {
            self.intake.deferred_rows.extend(rows);
            self.intake.deferred_position = position.or(self.intake.deferred_position);
        }
    }

    pub(super) fn handle_worker_rows(&mut self, event: TableEvent) {
        let now = BootClock.now();
        self.health.list_position = event.position.or(self.health.list_position);
        if event.is_snapshot {
            let names = event.rows.iter().map(|row| InstanceName::new(&row.key));
            let listed: HashSet<InstanceName> = names.collect();
            for name in self.dispatcher.worker_names() {
                if !listed.contains(&name) {
                    self.unlist(&name);
                }
            }
        }
        for row in &event.rows {
            if row.is_deleted {
                self.unlist(&InstanceName::new(&row.key));
            } else {
                let key = self.update_worker(row, now);
                if let Some(key) = key.filter(|_| !event.is_snapshot) {
                    self.dispatcher.note_renewal(key, now);
                }
            }
        }
    }

    fn update_worker(&mut self, row: &StoreRow, now: TimePoint) -> Option<WorkerKey> {
        let report = match (self.parts.rows.worker)(row) {
            Ok(report) => report,
            Err(problem) => {
                warn!(self.parts.logger, "skipped unusable row"; "problem" => %problem, "row" => row.version);
                // Another writer may have replaced the entry of a worker.
                self.unlist(&InstanceName::new(&row.key));
                return None;
            }
        };
        info!(self.parts.logger, "worker listed"; "worker" => %report.name, "instance" => report.instance.as_ref().map(ToString::to_string), "pool" => %report.pool, "state" => ?report.state, "boot" => report.boot, "row" => row.version);
        let (key, is_new) = self.dispatcher.set_worker(report, now);
        if is_new {
            self.open_link(key, now);
        }
        Some(key)
    }

    pub(super) fn unlist(&mut self, name: &InstanceName) {
        if self.dispatcher.unlist_worker(name).is_some() {
            info!(self.parts.logger, "worker no longer listed"; "worker" => %name);
        }
    }
}
