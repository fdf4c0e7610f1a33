use std::time::Duration;

use futures::StreamExt;
use futures::future::try_join_all;
use futures::stream::FuturesUnordered;
use sesamedeal_store::{Result, backoff_delay};
use slog::{Logger, debug, info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::FollowTiming;
use crate::ports::{
    FollowPage, FollowRequest, RowPartition, RowRange, StorePort, StorePosition, StoreRow,
    StoreTable,
};
use crate::{BootClock, StoreHealth};

/// Longest pause after a failed call. Beliefs must be fresh about two seconds after an outage.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// What a follower learned.
#[derive(Debug)]
pub(crate) struct TableEvent {
    /// Rows that have changed, or the whole table.
    pub rows: Vec<StoreRow>,
    pub is_snapshot: bool,
    /// Where the table stood if all earlier changes are known with these rows.
    pub position: Option<StorePosition>,
}

/// Reads a table and then follows its changes.
#[derive(Debug)]
pub(crate) struct TableFollower {
    pub store: StorePort,
    pub table: StoreTable,
    pub timing: FollowTiming,
    pub health: StoreHealth,
    pub logger: Logger,
}

impl TableFollower {
    /// Sends what it learns until the receiver is gone.
    pub(crate) async fn run(self, events: mpsc::Sender<TableEvent>) {
        let mut position = None;
        // Time that the store took for its last answer.
        let mut slowness = Duration::ZERO;
        let mut failures: u32 = 0;
        let mut lost = Instant::now();
        while !events.is_closed() {
            let result = match position {
                None => self.read(&mut slowness, &events).await,
                Some(after) => self.follow(after, &mut slowness, &events).await,
            };
            self.health.record(&result);
            match result {
                Ok(next) => {
                    if failures > 0 {
                        info!(self.logger, "store regained"; "table" => ?self.table, "failures" => failures, "lost_ms" => lost.elapsed().as_millis());
                        failures = 0;
                    }
                    if next.is_none() {
                        warn!(self.logger, "history of the store is gone"; "table" => ?self.table, "after" => position);
                    }
                    position = next;
                }
                Err(error) => {
                    if failures == 0 {
                        lost = Instant::now();
                        warn!(self.logger, "store lost"; "table" => ?self.table, "after" => position, "error" => %error);
                    }
                    failures += 1;
                    if self.timing.reads_at_once
                        && let Some(after) = position
                        && self.read_apart(after, &mut position, &events).await
                    {
                        continue;
                    }
                    let delay = backoff_delay(failures - 1, rand::random());
                    sleep(delay.min(MAX_PAUSE)).await;
                }
            }
        }
    }

    async fn read(
        &self,
        slowness: &mut Duration,
        events: &mpsc::Sender<TableEvent>,
    ) -> Result<Option<u64>> {
        let begin = Instant::now();
        let (rows, position) = read_table(&self.store, self.table).await?;
        *slowness = begin.elapsed();
        self.send(events, rows, true, Some(position)).await;
        Ok(Some(position.version))
    }

    async fn follow(
        &self,
        after: u64,
        slowness: &mut Duration,
        events: &mpsc::Sender<TableEvent>,
    ) -> Result<Option<u64>> {
        let request = FollowRequest {
            table: self.table,
            after,
            wait: self.timing.wait,
            margin: self.timing.margin(*slowness),
        };
        let begin = Instant::now();
        match (self.store.follow)(request).await? {
            FollowPage::Changes { rows, position } => {
                *slowness = begin.elapsed().saturating_sub(self.timing.wait);
                self.send(events, rows, false, Some(position)).await;
                Ok(Some(position.version.max(after)))
            }
            FollowPage::HistoryGone => Ok(None),
        }
    }

    /// Reads the partitions side by side and sends the rows of each as they come, so that one
    /// without an answer delays its own rows only. True if one was read; the position moves on when
    /// all were.
    async fn read_apart(
        &self,
        after: u64,
        position: &mut Option<u64>,
        events: &mpsc::Sender<TableEvent>,
    ) -> bool {
        let partitions = RowPartition::all(self.table, self.store.has_partitions);
        let mut reads: FuturesUnordered<_> = partitions
            .map(|partition| read_partition(&self.store, self.table, partition))
            .collect();
        let mut earliest: Option<StorePosition> = None;
        let mut failed = 0;
        let count = reads.len();
        while let Some(result) = reads.next().await {
            // Single partitions without an answer do not mean that the store is down.
            if result.is_ok() || failed + 1 == count {
                self.health.record(&result);
            }
            match result {
                Ok((rows, first)) => {
                    self.send(events, rows, false, None).await;
                    earliest = Some(earlier(earliest, first));
                }
                Err(error) => {
                    debug!(self.logger, "partition not read"; "table" => ?self.table, "error" => %error);
                    failed += 1;
                }
            }
        }
        if failed > 0 {
            info!(self.logger, "table partly read"; "table" => ?self.table, "after" => after, "partitions" => count, "failed" => failed);
        } else if let Some(earliest) = earliest {
            *position = Some(earliest.version.max(after));
            self.send(events, Vec::new(), false, Some(earliest)).await;
        }
        failed < count
    }

    async fn send(
        &self,
        events: &mpsc::Sender<TableEvent>,
        rows: Vec<StoreRow>,
        is_snapshot: bool,
        position: Option<StorePosition>,
    ) {
        if let Some(at_ms) = position.and_then(|position| position.at_ms) {
            self.health.clock.record(at_ms, BootClock.now());
        }
        let event = TableEvent {
            rows,
            is_snapshot,
            position,
        };
        // A closed receiver ends the loop of the caller.
        drop(events.send(event).await);
    }
}

/// Reads a whole table, its partitions at the same time; the position is the earliest of the first
/// pages, so that changes made while the others were read are followed.
pub(crate) async fn read_table(
    store: &StorePort,
    table: StoreTable,
) -> Result<(Vec<StoreRow>, StorePosition)> {
    let partitions = RowPartition::all(table, store.has_partitions);
    let reads = partitions.map(|partition| read_partition(store, table, partition));
    let mut rows = Vec::new();
    let mut position: Option<StorePosition> = None;
    for (read, first) in try_join_all(reads).await? {
        rows.extend(read);
        position = Some(earlier(position, first));
    }
    Ok((rows, position.unwrap_or_default()))
}

fn earlier(known: Option<StorePosition>, other: StorePosition) -> StorePosition {
    known
        .filter(|known| known.version <= other.version)
        .unwrap_or(other)
}

/// Reads a partition; the position is that of the first page.
async fn read_partition(
    store: &StorePort,
    table: StoreTable,
    partition: RowPartition,
) -> Result<(Vec<StoreRow>, StorePosition)> {
    let mut rows: Vec<StoreRow> = Vec::new();
    let mut position = None;
    loop {
        let from = rows.last().map(|row| {
            let mut key = row.key.clone();
            key.push('\0');
            key
        });
        let range = RowRange {
            table,
            partition,
            from: from.unwrap_or_default(),
            limit: None,
        };
        let page = (store.read)(range).await?;
        position.get_or_insert(page.position);
        let is_end = !page.has_more || page.rows.is_empty();
        rows.extend(page.rows);
        if is_end {
            return Ok((rows, position.unwrap_or_default()));
        }
    }
}
