use std::time::Duration;

use futures::StreamExt;
use futures::future::try_join_all;
use futures::stream::FuturesUnordered;
use sesamedeal_store::{Result, backoff_delay};
use slog::{Logger, debug, info, warn};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout_at};

use super::{AnswerDeadline, FeedPhase, FeedStatus, FollowTiming};
use crate::ports::{
    FollowPage, FollowRequest, RowPartition, RowRange, StorePort, StorePosition, StoreRow,
    StoreTable,
};
use crate::{BootClock, StoreHealth};

/// Maximum pause after a failed call.
pub(super) const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Maximum time for fewer than half of the partitions of a table to be read. Each call without an
/// answer fails after 0.9 s, and a slow store needs several calls for a large partition.
const MAX_READ_TIME: Duration = Duration::from_secs(10);

/// Multiple of the time in which half of the partitions are read, for the others, and for each failed
/// call.
const ANSWER_MARGIN_FACTOR: u32 = 2;

/// Outcome of reading the partitions of a table of which at least one has answered.
#[derive(Debug)]
struct PartialRead {
    /// Version of the store to follow from.
    position: u64,
    /// Time until the first partition was read.
    response_time: Duration,
    /// Whether all partitions were read.
    is_complete: bool,
}

/// Rows that a follower has received.
#[derive(Debug)]
pub(crate) struct TableEvent {
    /// All rows of the table if this is a snapshot; otherwise changed rows.
    pub rows: Vec<StoreRow>,
    pub is_snapshot: bool,
    /// Position of the store up to which all changes have been received, including these rows;
    /// `None` if changes may be missing.
    pub position: Option<StorePosition>,
}

/// Reads a table and then follows its changes.
#[derive(Debug)]
pub(crate) struct TableFollower {
    pub store: StorePort,
    pub table: StoreTable,
    pub timing: FollowTiming,
    /// Version after which changes are sent; `None` if the whole table is read first.
    pub start: Option<u64>,
    pub health: StoreHealth,
    pub status: FeedStatus,
    pub logger: Logger,
}

impl TableFollower {
    /// Sends the rows and changes of the table until the receiver is closed.
    pub(crate) async fn run(self, events: mpsc::Sender<TableEvent>) {
        let mut position = self.start;
        // Last response time of the store, without the wait for a change.
        let mut response_time = Duration::ZERO;
        let mut failures: u32 = 0;
        let mut is_partial = false;
        let mut lost_at = Instant::now();
        while !events.is_closed() {
            let result = match position {
                None => self.read(&mut response_time, &events).await,
                Some(after) => {
                    let attempt = (failures, is_partial);
                    let request = self
                        .timing
                        .request(self.table, after, response_time, attempt);
                    self.follow(request, &mut response_time, &events).await
                }
            };
            self.health.record(&result);
            match result {
                Ok(next) => {
                    self.status.record_answer(next.or(position));
                    if failures > 0 {
                        info!(self.logger, "store reachable again"; "table" => ?self.table, "failures" => failures, "lost_ms" => lost_at.elapsed().as_millis());
                        failures = 0;
                        is_partial = false;
                    }
                    if next.is_none() {
                        warn!(self.logger, "store no longer has the changes; reading the whole table"; "table" => ?self.table, "after" => position);
                    }
                    position = next;
                }
                Err(error) => {
                    if failures == 0 {
                        lost_at = Instant::now();
                        warn!(self.logger, "call to the store failed; retrying"; "table" => ?self.table, "after" => position, "error" => %error);
                    }
                    failures += 1;
                    self.status.record_failure();
                    if self.timing.reads_on_failure
                        && let Some(after) = position
                        && let Some(read) = self.read_partitions(after, failures, &events).await
                    {
                        position = Some(read.position);
                        response_time = read.response_time;
                        is_partial = !read.is_complete;
                        continue;
                    }
                    is_partial = false;
                    let delay = backoff_delay(failures - 1, rand::random());
                    self.status.enter(FeedPhase::Paused);
                    sleep(delay.min(MAX_PAUSE)).await;
                }
            }
        }
    }

    async fn read(
        &self,
        response_time: &mut Duration,
        events: &mpsc::Sender<TableEvent>,
    ) -> Result<Option<u64>> {
        self.status.enter(FeedPhase::Reading);
        let start = Instant::now();
        let (rows, position) = read_table(&self.store, self.table).await?;
        *response_time = start.elapsed();
        let age = position
            .at_ms
            .and_then(|at_ms| self.health.clock.age(at_ms, BootClock.now()));
        info!(self.logger, "table read"; "table" => ?self.table, "rows" => rows.len(), "row" => position.version, "age_ms" => age.map(|age| age.as_millis()), "took_ms" => response_time.as_millis());
        self.send(events, rows, true, Some(position)).await;
        Ok(Some(position.version))
    }

    async fn follow(
        &self,
        request: FollowRequest,
        response_time: &mut Duration,
        events: &mpsc::Sender<TableEvent>,
    ) -> Result<Option<u64>> {
        self.status.enter(FeedPhase::Following);
        let start = Instant::now();
        match (self.store.follow)(request).await? {
            FollowPage::Changes { rows, position } => {
                *response_time = start.elapsed().saturating_sub(request.wait);
                self.send(events, rows, false, Some(position)).await;
                Ok(Some(position.version.max(request.after)))
            }
            FollowPage::HistoryGone => Ok(None),
        }
    }

    /// Reads the partitions concurrently and sends the rows of each when they arrive, so that an
    /// unresponsive partition delays only its own rows. Returns `None` if no partition was read. The
    /// position advances only if all were read.
    ///
    /// The time for the last partitions grows with the number of failures, so that one that takes
    /// longer than the others is read at last.
    async fn read_partitions(
        &self,
        after: u64,
        failures: u32,
        events: &mpsc::Sender<TableEvent>,
    ) -> Option<PartialRead> {
        let start = Instant::now();
        let partitions = RowPartition::all(self.table, self.store.has_partitions);
        let mut reads: FuturesUnordered<_> = partitions
            .map(|partition| read_partition(&self.store, self.table, partition))
            .collect();
        let count = reads.len();
        let factor = ANSWER_MARGIN_FACTOR.saturating_mul(failures);
        let mut wait = AnswerDeadline::new(count, MAX_READ_TIME, factor);
        let mut earliest: Option<StorePosition> = None;
        let mut response_time = Duration::ZERO;
        let (mut answered, mut failed) = (0, 0);
        while let Ok(Some(result)) = timeout_at(wait.deadline(), reads.next()).await {
            // A failure is recorded only if all partitions have failed: the store is not down if
            // some partitions answer.
            failed += usize::from(result.is_err());
            if result.is_ok() || failed == count {
                self.health.record(&result);
            }
            match result {
                Ok((rows, first)) => {
                    if answered == 0 {
                        response_time = start.elapsed();
                    }
                    answered += 1;
                    wait.note_answer();
                    self.send(events, rows, false, None).await;
                    earliest = Some(earlier(earliest, first));
                }
                Err(error) => {
                    debug!(self.logger, "failed to read a partition"; "table" => ?self.table, "error" => %error);
                }
            }
        }
        let earliest = earliest?;
        let is_complete = answered == count;
        if is_complete {
            self.send(events, Vec::new(), false, Some(earliest)).await;
        } else {
            info!(self.logger, "table read in part"; "table" => ?self.table, "after" => after, "partitions" => count, "failed" => count - answered);
        }
        Some(PartialRead {
            position: if is_complete {
                earliest.version.max(after)
            } else {
                after
            },
            response_time,
            is_complete,
        })
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
        // The error is ignored: a closed receiver ends the loop in `run`.
        drop(events.send(event).await);
    }
}

/// Reads a whole table, with its partitions concurrently.
///
/// Returns the earliest position of the first pages of all partitions. Following from there also
/// returns the changes that were made while the other pages were read.
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

/// Returns the position with the lower version.
fn earlier(known: Option<StorePosition>, other: StorePosition) -> StorePosition {
    known
        .filter(|known| known.version <= other.version)
        .unwrap_or(other)
}

/// Reads a whole partition and returns its rows with the position of the first page.
pub(crate) async fn read_partition(
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
