//! Taking the ownership and giving it up.

use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
use slog::{Logger, info, warn};
use tokio::time::sleep;

use super::owner_lease::OwnerLease;
use super::owner_loop::{LOOK_PERIOD, OwnerLoop, READ_PAUSE};
use super::owner_rows::OwnerRows;
use super::record_writer::{condition, put};
use crate::feeds::read_table;
use crate::ports::{RowChange, RowName, StoreTable, TransactOutcome};
use crate::row_codec::{EPOCH_KEY, EpochRow, PulseRow, encode};

/// Longest pause before an attempt to take the ownership, as a multiple of the time that the store
/// takes for a read. About eight entry instances compete.
const CONTENTION_SPREAD: f64 = 4.0;

impl OwnerLoop {
    /// Whether the rows are still as the follower saw them, after a pause at random. The follower
    /// may have been cut off, and a slow store has no room for the attempts of all candidates.
    pub(super) async fn confirm(&self, rows: &mut OwnerRows) -> bool {
        let begin = tokio::time::Instant::now();
        if !self.is_unchanged(rows).await {
            return false;
        }
        let pause = begin
            .elapsed()
            .mul_f64(CONTENTION_SPREAD * rand::random::<f64>());
        sleep(pause).await;
        pause < LOOK_PERIOD || self.is_unchanged(rows).await
    }

    pub(super) async fn is_unchanged(&self, rows: &mut OwnerRows) -> bool {
        let before = rows.record();
        match read_table(&self.store, StoreTable::Owner).await {
            Ok((read, _)) => {
                for row in &read {
                    rows.take(row, &self.logger);
                }
                rows.record() == before
            }
            Err(error) => {
                warn!(self.logger, "ownership not read"; "error" => %error);
                false
            }
        }
    }

    pub(super) async fn acquire(
        &self,
        rows: &OwnerRows,
        sent: TimePoint,
    ) -> Result<Option<(OwnerLease, Option<PulseRow>)>> {
        let known = rows.epoch.as_ref();
        let epoch = known.map_or(0, |(row, _)| row.epoch) + 1;
        let version = known.map_or(0, |(_, version)| *version);
        let row = EpochRow {
            epoch,
            holder: self.session,
            node: self.node.clone(),
            is_released: false,
        };
        let change = RowChange {
            conditions: vec![condition(StoreTable::Owner, EPOCH_KEY, version)],
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
                warn!(self.logger, "taking of the ownership has no answer"; "error" => %error);
                self.find_taken(epoch).await?
            }
        };
        Ok(taken.map(|version| (OwnerLease::new(epoch, version, sent), rows.pulse.clone())))
    }

    /// Version of the epoch row if this process holds `epoch`.
    pub(super) async fn find_taken(&self, epoch: u64) -> Result<Option<u64>> {
        let (read, _) = read_table(&self.store, StoreTable::Owner).await?;
        let mut rows = OwnerRows::default();
        for row in &read {
            rows.take(row, &self.logger);
        }
        let own = rows
            .epoch
            .filter(|(row, _)| row.epoch == epoch && row.holder == self.session);
        Ok(own.map(|(_, version)| version))
    }

    /// Lets another entry instance take the ownership at once. A repetition after a release that
    /// took effect finds another version and changes nothing.
    pub(super) async fn release(&self, lease: &OwnerLease, logger: &Logger) {
        let row = EpochRow {
            epoch: lease.epoch,
            holder: self.session,
            node: self.node.clone(),
            is_released: true,
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
            sleep(READ_PAUSE).await;
        }
    }
}
