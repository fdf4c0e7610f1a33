//! Acquires and releases the ownership.

use std::time::Duration;

use sesamedeal_core::lease::InstanceCapacity;
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use super::owner_lease::OwnerLease;
use super::owner_loop::{OWNERSHIP_CHECK_PERIOD, OwnerLoop, READ_RETRY_PAUSE};
use super::owner_rows::OwnerRows;
use super::record_writer::{condition, put};
use crate::BootClock;
use crate::feeds::read_table;
use crate::ports::{RowChange, RowName, StoreTable, TransactOutcome};
use crate::row_codec::{EPOCH_KEY, EpochRow, HEARTBEAT_KEY, HeartbeatRow, encode};

/// Maximum random delay before an attempt to take the ownership, as a multiple of the time that a
/// read from the store takes. About eight entry instances compete.
const JITTER_FACTOR: f64 = 4.0;

/// Uptime from which an instance waits the full [`MAX_UPTIME_PAUSE`]. A rolling restart of about
/// eight instances takes a minute.
const FULL_PAUSE_UPTIME: Duration = Duration::from_secs(60);

/// Pause before an attempt of the instances with the longest uptime. A change of the ownership
/// takes about 20 ms.
const MAX_UPTIME_PAUSE: Duration = Duration::from_millis(120);

/// Processor capacity, in thousandths of a core, from which an instance competes for the first
/// epoch without a pause.
const NO_PAUSE_CPU_MILLIS: u64 = 1_000;

/// Pause for each thousandth of a core below [`NO_PAUSE_CPU_MILLIS`]. Instances start within 0.3 s
/// of each other.
const PAUSE_PER_CPU_MILLI: Duration = Duration::from_micros(300);

impl OwnerLoop {
    /// Whether the ownership rows are still as the follower saw them, after a random delay. The
    /// follower may have been disconnected, and a slow store cannot serve the attempts of all
    /// candidates.
    pub(super) async fn confirm_unchanged(&self, rows: &mut OwnerRows) -> bool {
        let begin = tokio::time::Instant::now();
        if !self.is_unchanged(rows).await {
            return false;
        }
        let pause = begin
            .elapsed()
            .mul_f64(JITTER_FACTOR * rand::random::<f64>())
            + self.uptime_pause()
            + self.capacity_pause(rows);
        sleep(pause).await;
        pause < OWNERSHIP_CHECK_PERIOD || self.is_unchanged(rows).await
    }

    /// Pause that lets recently started instances go first. During a rolling restart, these are the
    /// ones that stay.
    pub(super) fn uptime_pause(&self) -> Duration {
        let age = BootClock.now().since(self.started).min(FULL_PAUSE_UPTIME);
        MAX_UPTIME_PAUSE.mul_f64(age.as_secs_f64() / FULL_PAUSE_UPTIME.as_secs_f64())
    }

    /// Pause before the first epoch that lets larger instances go first, since its candidates do
    /// not know each other yet.
    fn capacity_pause(&self, rows: &OwnerRows) -> Duration {
        if rows.epoch.is_some() {
            return Duration::ZERO;
        }
        let cpu = self.peers.capacity.cpu_millis.min(NO_PAUSE_CPU_MILLIS);
        let missing = u32::try_from(NO_PAUSE_CPU_MILLIS - cpu).unwrap_or(u32::MAX);
        PAUSE_PER_CPU_MILLI * missing
    }

    pub(super) async fn is_unchanged(&self, rows: &mut OwnerRows) -> bool {
        let before = rows.record();
        match self.read_rows(rows).await {
            Ok(()) => rows.record() == before,
            Err(error) => {
                warn!(self.logger, "could not read the ownership"; "error" => %error);
                false
            }
        }
    }

    pub(super) async fn read_rows(&self, rows: &mut OwnerRows) -> Result<()> {
        let (read, _) = read_table(&self.store, StoreTable::Owner).await?;
        for row in &read {
            rows.apply_row(row, &self.logger);
        }
        self.record_heartbeat(rows);
        Ok(())
    }

    /// Epoch row with this process as the holder.
    pub(super) fn epoch_row(&self, epoch: u64, largest: InstanceCapacity) -> EpochRow {
        EpochRow {
            epoch,
            holder: self.session,
            node: self.node.clone(),
            address: self.peers.own,
            is_released: false,
            largest,
        }
    }

    pub(super) async fn acquire(
        &self,
        rows: &OwnerRows,
        sent: TimePoint,
    ) -> Result<Option<(OwnerLease, Option<HeartbeatRow>)>> {
        let known = rows.epoch.as_ref();
        let epoch = known.map_or(0, |(row, _)| row.epoch) + 1;
        let version = known.map_or(0, |(_, version)| *version);
        // A small instance takes the ownership only if no larger one seems to be alive.
        let own = self.peers.capacity;
        let largest = known.map_or(own, |(row, _)| row.largest);
        let largest = if own.is_much_smaller_than(largest) {
            own
        } else {
            largest.max(own)
        };
        let row = self.epoch_row(epoch, largest);
        let mut conditions = vec![condition(StoreTable::Owner, EPOCH_KEY, version)];
        if rows.heartbeat_version > 0 {
            // The successor relies on the heartbeat, which lists the unreachable workers that may
            // run tasks.
            let version = rows.heartbeat_version;
            conditions.push(condition(StoreTable::Owner, HEARTBEAT_KEY, version));
        }
        let change = RowChange {
            conditions,
            puts: vec![put(
                RowName::new(StoreTable::Owner, EPOCH_KEY),
                encode(&row),
            )],
            deletes: Vec::new(),
        };
        let taken = match (self.store.transact)(change).await {
            Ok(TransactOutcome::Committed { version }) => Some(version),
            Ok(TransactOutcome::Conflict { .. }) => None,
            Err(error) => {
                warn!(self.logger, "no answer to the write that takes the ownership"; "error" => %error);
                self.find_acquired(epoch).await?
            }
        };
        Ok(taken.map(|version| (OwnerLease::new(&row, version, sent), rows.heartbeat.clone())))
    }

    /// Version of the epoch row if this process holds `epoch`.
    pub(super) async fn find_acquired(&self, epoch: u64) -> Result<Option<u64>> {
        let mut rows = OwnerRows::default();
        self.read_rows(&mut rows).await?;
        let own = rows
            .epoch
            .filter(|(row, _)| row.epoch == epoch && row.holder == self.session);
        Ok(own.map(|(_, version)| version))
    }

    /// Releases the ownership so that another entry instance can take it at once. A repetition
    /// after a release that took effect finds another version and changes nothing. `largest` is the
    /// capacity to which smaller instances defer.
    pub(super) async fn release(
        &self,
        lease: &OwnerLease,
        largest: InstanceCapacity,
        logger: &Logger,
    ) {
        let row = EpochRow {
            is_released: true,
            ..self.epoch_row(lease.epoch, largest)
        };
        let change = RowChange {
            conditions: vec![condition(StoreTable::Owner, EPOCH_KEY, lease.version)],
            puts: vec![put(
                RowName::new(StoreTable::Owner, EPOCH_KEY),
                encode(&row),
            )],
            deletes: Vec::new(),
        };
        loop {
            let outcome = (self.store.transact)(change.clone()).await;
            info!(logger, "ownership released"; "outcome" => ?outcome);
            if outcome.is_ok() {
                return;
            }
            sleep(READ_RETRY_PAUSE).await;
        }
    }
}
