//! Writes of the owner: job records, heartbeats and the rows that go with them.

use std::time::Duration;

use sesamedeal_core::jobs::RecordBatch;
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::{PlatformError, Result};
use slog::{debug, info, warn};

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use super::record_writer::{EXPIRED_PER_WRITE, ROWS_PER_WRITE};
use crate::BootClock;
use crate::ports::{RowPut, TransactOutcome};
use crate::row_codec::HeartbeatRow;

/// Pause after a failed write.
const WRITE_RETRY: Duration = Duration::from_millis(120);

impl OwnerActor {
    /// Writes changed records, or renews the ownership.
    pub(super) fn write(&mut self, now: TimePoint) {
        self.writer.note_lateness(now);
        self.check_partitions(now);
        if self.writer.is_writing() || now < self.write_after {
            return;
        }
        let is_writable = self.writer.partitions.writable_jobs();
        let is_heartbeat_due = now.since(self.writer.heartbeat_sent) >= self.parts.policy.renewal;
        let has_interval_passed =
            now.since(self.writer.sent) >= self.parts.policy.min_write_interval;
        let has_records = self.dispatcher.has_records()
            && (has_interval_passed || self.dispatcher.has_backlog(ROWS_PER_WRITE, &is_writable));
        if !is_heartbeat_due && !has_records && !self.writer.has_queued_rows() {
            // Ends that changed no record need no write before they are acknowledged.
            if !self.dispatcher.has_records() {
                let batch = self.dispatcher.take_records(0, 0);
                self.dispatcher.note_stored(&batch, now);
            }
            return;
        }
        let batch = self.dispatcher.take_writable_records(
            self.writer.record_limit(),
            BootClock.unix_ms(),
            &is_writable,
        );
        self.log_large_records(&batch);
        let heartbeat = is_heartbeat_due.then(|| self.heartbeat());
        if let Some(heartbeat) = &heartbeat {
            self.dispatcher.note_publishing(&heartbeat.out_of_reach);
            self.published_unreachable = heartbeat.out_of_reach.clone();
            self.writer.heartbeat_sent = now;
            self.parts.heartbeat.set(heartbeat.clone());
        }
        let expired = if self.writer.partitions.has_unreachable() {
            Vec::new()
        } else {
            self.dispatcher.take_expired(EXPIRED_PER_WRITE, now)
        };
        let (number, change) = self.writer.build_change(batch, &expired, heartbeat, now);
        let call = (self.parts.store.transact)(change);
        self.spawn_call(call, move |outcome| OwnerEvent::Written {
            number,
            sent: now,
            outcome,
        });
    }

    pub(super) fn heartbeat(&self) -> HeartbeatRow {
        let mut heartbeat = self.full_heartbeat();
        let cut = heartbeat.limit_size();
        if !cut.is_empty() {
            warn!(self.parts.logger, "heartbeat cut to its limits"; "workers" => cut.workers, "queues" => cut.queues, "overloads" => cut.overloads, "pools" => cut.pools);
        }
        heartbeat
    }

    fn full_heartbeat(&self) -> HeartbeatRow {
        HeartbeatRow {
            epoch: self.parts.lease.epoch,
            renewals: 0,
            out_of_reach: if self.is_loaded {
                self.dispatcher.unreachable_workers(BootClock.now())
            } else {
                self.intake.previous_unreachable.clone()
            },
            pending: if self.is_complete() {
                self.dispatcher.pending().into_iter().collect()
            } else {
                self.intake.previous_pending.clone()
            },
            is_pending_partial: !self.is_complete() && self.intake.is_previous_pending_partial,
            counted: if self.is_complete() {
                self.intake.position
            } else {
                self.intake.previous_counted
            },
            counted_age_ms: self.intake_age_ms(BootClock.now()),
            is_loaded: self.is_loaded,
            has_failed: self.hand_over.has_failed(BootClock.now()),
            surges_ms: self.surges_ms(),
            overloads: self.overloads(),
        }
    }

    pub(super) fn handle_write_result(
        &mut self,
        number: u64,
        sent: TimePoint,
        outcome: Result<TransactOutcome>,
    ) {
        let Some((batch, rows)) = self.writer.end_write(number) else {
            debug!(self.parts.logger, "answer to a write that was given up"; "write" => number, "outcome" => ?outcome);
            return;
        };
        match outcome {
            Ok(TransactOutcome::Committed { version }) => {
                self.writer.commit(version, sent, BootClock.now());
                self.hand_over.note_renewal(sent);
                self.confirm_claims(&rows);
                self.dispatcher.note_stored(&batch, BootClock.now());
                self.dispatcher.note_published(&self.published_unreachable);
                let rows = std::mem::take(&mut self.intake.deferred_rows);
                self.intake.apply_rows(rows, &mut self.dispatcher);
                let position = self.intake.deferred_position.take();
                self.intake.position = position.or(self.intake.position);
                let partitions = std::mem::take(&mut self.intake.deferred_partitions);
                self.add_partitions(partitions);
                for (id, record) in &batch.records {
                    if record.phase.is_final() {
                        info!(self.parts.logger, "job ended"; "job" => %id, "phase" => ?record.phase, "row" => version);
                    }
                }
            }
            Ok(TransactOutcome::Conflict { rows: current }) => {
                self.requeue(&batch, rows);
                self.parts.metrics.count_store_failure("conflict");
                if !self.writer.resolve_conflict(&current) {
                    self.step_down("the epoch row has changed");
                }
            }
            Err(error) => {
                self.requeue(&batch, rows);
                self.write_after = BootClock.now().after(WRITE_RETRY);
                self.writer.partitions.request();
                self.check_partitions(BootClock.now());
                self.hand_over.note_failure(BootClock.now());
                let kind = match error {
                    PlatformError::NoAnswer { .. } => "no-answer",
                    PlatformError::Unreachable { .. } => "unreachable",
                    _ => "refused",
                };
                self.parts.metrics.count_store_failure(kind);
                warn!(self.parts.logger, "could not write records"; "jobs" => batch.records.len(), "error" => %error);
            }
        }
    }

    /// Gives up the write in flight if it spans a partition that does not answer. If it takes effect
    /// all the same, the next one conflicts with it and is repeated.
    pub(super) fn abandon_write(&mut self, now: TimePoint) {
        let age = now.since(self.writer.sent);
        let Some((batch, rows)) = self.writer.abandon_write() else {
            return;
        };
        self.requeue(&batch, rows);
        self.hand_over.note_partition_failure(now);
        self.parts.metrics.count_store_failure("partition");
        warn!(self.parts.logger, "write given up: it spans a partition that does not answer"; "jobs" => batch.records.len(), "age_ms" => age.as_millis());
    }

    /// Logs the records that take more rows than before, and the jobs whose record exceeds a write.
    fn log_large_records(&mut self, batch: &RecordBatch) {
        for (id, record) in &batch.records {
            let rows = record.row_count();
            if rows > record.stored_rows.max(1) {
                info!(self.parts.logger, "record grown to several rows"; "job" => %id, "rows" => rows, "max_bytes" => record.size_bound());
            }
        }
        for (id, size) in self.dispatcher.take_oversized_jobs() {
            warn!(self.parts.logger, "job ended: its record exceeds a write"; "job" => %id, "max_bytes" => size);
        }
    }

    /// Queues what a write that has failed contained.
    fn requeue(&mut self, batch: &RecordBatch, rows: Vec<RowPut>) {
        self.dispatcher.requeue_records(batch);
        self.writer.requeue_rows(rows);
        self.writer.heartbeat_sent = TimePoint::ORIGIN;
    }
}
