//! Handles changes of the tables that the owner follows.

use std::collections::HashSet;

use sesamedeal_core::ids::InstanceName;
use sesamedeal_core::jobs::WorkerKey;
use sesamedeal_core::time::TimePoint;
use slog::{info, warn};

use super::owner_actor::OwnerActor;
use super::partition_loader::LoadedPartition;
use crate::BootClock;
use crate::feeds::TableEvent;
use crate::ports::StoreRow;

impl OwnerActor {
    /// Loads rows of the job table. While renewals fail, new jobs are held back because a successor
    /// may run them.
    pub(super) fn handle_job_rows(&mut self, event: TableEvent) {
        let TableEvent { rows, position, .. } = event;
        if self.may_load() {
            self.intake.apply_rows(rows, &mut self.dispatcher);
            // Before the jobs are loaded, these rows are only a part of what is stored.
            let position = position.filter(|_| self.is_loaded);
            self.intake.position = position.or(self.intake.position);
        } else {
            self.intake.deferred_rows.extend(rows);
            self.intake.deferred_position = position.or(self.intake.deferred_position);
        }
    }

    /// Whether renewals succeed, so that no successor can run new jobs.
    fn may_load(&self) -> bool {
        let policy = &self.parts.policy;
        let limit = policy.expiry.saturating_sub(policy.renewal);
        self.parts.lease.is_recent(limit)
    }

    /// Adds the jobs of partitions that have been read. While renewals fail, those that are read
    /// after others are held back.
    pub(super) fn handle_loaded(&mut self, partitions: Vec<LoadedPartition>) {
        if self.is_loaded && !self.may_load() {
            self.intake.deferred_partitions.extend(partitions);
        } else {
            self.add_partitions(partitions);
        }
    }

    pub(super) fn add_partitions(&mut self, partitions: Vec<LoadedPartition>) {
        if partitions.is_empty() {
            return;
        }
        let count = partitions.len();
        let rows = partitions.iter().map(|loaded| loaded.jobs.len());
        let rows: usize = rows.sum();
        let positions = partitions.iter().map(|loaded| loaded.position);
        let position = positions.min_by_key(|position| position.version);
        self.intake
            .apply_partitions(partitions, self.is_loaded, &mut self.dispatcher);
        if !self.is_loaded {
            self.intake.position = position;
            self.is_loaded = true;
        }
        let unread = self.dispatcher.unread_partitions();
        let runs = self.dispatcher.unread_runs();
        info!(self.parts.logger, "jobs loaded"; "rows" => rows, "partitions" => count, "unread_partitions" => unread, "unread_runs" => runs);
        self.parts.metrics.set_unread_partitions(unread);
    }

    /// Whether the jobs of all partitions are loaded.
    pub(super) fn is_complete(&self) -> bool {
        self.is_loaded && self.dispatcher.unread_partitions() == 0
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
