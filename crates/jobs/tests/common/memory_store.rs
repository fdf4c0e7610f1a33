use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::FutureExt;
use parking_lot::Mutex;
use sesamedeal_jobs::ports::{
    FollowPage, FollowRequest, RowChange, RowPage, RowPartition, RowPut, RowRange, StorePort,
    StorePosition, StoreRow, StoreTable, TransactOutcome,
};
use sesamedeal_store::{PlatformError, Result};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

#[derive(Debug, Clone, Default)]
struct StoreState {
    version: u64,
    rows: HashMap<StoreTable, BTreeMap<CompactString, StoreRow>>,
    changes: Vec<(StoreTable, StoreRow)>,
}

/// In-memory store. Its pages are small, so that a table spans several of them.
#[derive(Debug, Clone)]
pub struct MemoryStore {
    started: Instant,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
    /// Whether calls are refused.
    pub is_down: Arc<AtomicBool>,
    /// Whether calls get no answer.
    pub is_unresponsive: Arc<AtomicBool>,
    /// Whether changes take effect but get no answer.
    pub loses_answers: Arc<AtomicBool>,
    /// Whether follow requests get no answer.
    pub withholds_changes: Arc<AtomicBool>,
    /// Tables whose reads and follow requests get no answer.
    pub unresponsive_tables: Arc<Mutex<HashSet<StoreTable>>>,
    /// Partitions of job rows whose reads and changes get no answer.
    unresponsive_partitions: Arc<Mutex<HashSet<RowPartition>>>,
    /// Whether changes that span unresponsive partitions take effect, although they get no answer.
    pub applies_unanswered: Arc<AtomicBool>,
    /// State that reads return instead of the current one.
    old_state: Arc<Mutex<Option<StoreState>>>,
    /// Additional latency of writes to the owner table: the epoch and the heartbeat.
    pub owner_delay: Arc<Mutex<Duration>>,
    /// Number of committed changes.
    pub transactions: Arc<AtomicU64>,
    /// Number of calls that request a change.
    pub calls: Arc<AtomicU64>,
}

/// Time after which a client abandons a call that gets no answer.
const CALL_DEADLINE: Duration = Duration::from_millis(900);

async fn no_answer<T>(after: Duration) -> Result<T> {
    sleep(after).await;
    Err(PlatformError::NoAnswer {
        reason: "store is unresponsive".to_owned(),
    })
}

/// Maximum number of rows of a page.
const PAGE_ROWS: usize = 3;

impl Default for MemoryStore {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            state: Arc::default(),
            changed: Arc::default(),
            is_down: Arc::default(),
            is_unresponsive: Arc::default(),
            loses_answers: Arc::default(),
            withholds_changes: Arc::default(),
            unresponsive_tables: Arc::default(),
            unresponsive_partitions: Arc::default(),
            applies_unanswered: Arc::default(),
            old_state: Arc::default(),
            owner_delay: Arc::default(),
            transactions: Arc::default(),
            calls: Arc::default(),
        }
    }
}

impl MemoryStore {
    pub fn port(&self) -> StorePort {
        let (changes, reads, follows) = (self.clone(), self.clone(), self.clone());
        StorePort {
            has_partitions: true,
            transact: Arc::new(move |change| {
                let store = changes.clone();
                async move {
                    store.calls.fetch_add(1, Ordering::AcqRel);
                    store.fail_if_unresponsive().await?;
                    store.delay_owner(&change).await;
                    if store.touches_unresponsive_partition(&change) {
                        if store.applies_unanswered.load(Ordering::Acquire) {
                            drop(store.transact(&change));
                        }
                        return no_answer(CALL_DEADLINE).await;
                    }
                    store.transact(&change)
                }
                .boxed()
            }),
            read: Arc::new(move |range| {
                let store = reads.clone();
                async move {
                    store.fail_if_unresponsive().await?;
                    store.fail_read_if_unresponsive(&range).await?;
                    store.read(&range)
                }
                .boxed()
            }),
            follow: Arc::new(move |request| {
                let store = follows.clone();
                async move {
                    store.fail_if_unresponsive().await?;
                    if store.is_unresponsive_table(request.table) {
                        return no_answer(request.wait + request.margin).await;
                    }
                    store.follow(request).await
                }
                .boxed()
            }),
        }
    }

    /// Returns a client of the same store that can be made unavailable separately from others.
    pub fn separate_client(&self) -> Self {
        Self {
            is_down: Arc::default(),
            is_unresponsive: Arc::default(),
            unresponsive_tables: Arc::default(),
            calls: Arc::default(),
            ..self.clone()
        }
    }

    /// Makes exactly these partitions unresponsive.
    pub fn silence(&self, partitions: impl IntoIterator<Item = RowPartition>) {
        *self.unresponsive_partitions.lock() = partitions.into_iter().collect();
    }

    /// Makes all reads from now on return the current state.
    pub fn freeze_reads(&self) {
        *self.old_state.lock() = Some(self.state.lock().clone());
    }

    /// Writes a row in place of an external writer.
    pub fn put(&self, table: StoreTable, key: &str, value: &[u8]) {
        self.apply(table, key.into(), Bytes::copy_from_slice(value), false);
        self.changed.notify_waiters();
    }

    /// Deletes a row in place of an external writer.
    pub fn delete(&self, table: StoreTable, key: &str) {
        self.apply(table, key.into(), Bytes::new(), true);
        self.changed.notify_waiters();
    }

    pub fn rows(&self, table: StoreTable) -> Vec<StoreRow> {
        let state = self.state.lock();
        let rows = state.rows.get(&table).into_iter();
        rows.flat_map(|rows| rows.values().cloned()).collect()
    }

    fn apply(&self, table: StoreTable, key: CompactString, value: Bytes, is_deleted: bool) {
        let mut state = self.state.lock();
        state.version += 1;
        let row = StoreRow {
            key: key.clone(),
            value,
            version: state.version,
            is_deleted,
        };
        let rows = state.rows.entry(table).or_default();
        if is_deleted {
            rows.remove(&key);
        } else {
            rows.insert(key, row.clone());
        }
        state.changes.push((table, row));
    }

    /// Times out with `NoAnswer` while the store is unresponsive.
    async fn fail_if_unresponsive(&self) -> Result<()> {
        if !self.is_unresponsive.load(Ordering::Acquire) {
            return Ok(());
        }
        no_answer(CALL_DEADLINE).await
    }

    /// Times out with `NoAnswer` if the table or the partition of a read is unresponsive.
    async fn fail_read_if_unresponsive(&self, range: &RowRange) -> Result<()> {
        let is_unresponsive = self
            .unresponsive_partitions
            .lock()
            .contains(&range.partition);
        if is_unresponsive || self.is_unresponsive_table(range.table) {
            return no_answer(CALL_DEADLINE).await;
        }
        Ok(())
    }

    fn touches_unresponsive_partition(&self, change: &RowChange) -> bool {
        let unresponsive = self.unresponsive_partitions.lock();
        let puts = change.puts.iter().map(|put| &put.row);
        let mut rows = puts.chain(&change.deletes);
        rows.any(|row| unresponsive.contains(&row.partition))
    }

    async fn delay_owner(&self, change: &RowChange) {
        let is_owner = |put: &RowPut| put.row.table == StoreTable::Owner;
        if change.puts.iter().any(is_owner) {
            let delay = *self.owner_delay.lock();
            sleep(delay).await;
        }
    }

    fn is_unresponsive_table(&self, table: StoreTable) -> bool {
        self.unresponsive_tables.lock().contains(&table)
    }

    fn check_available(&self) -> Result<()> {
        if self.is_down.load(Ordering::Acquire) {
            return Err(PlatformError::Unreachable {
                reason: "store is down".to_owned(),
            });
        }
        Ok(())
    }

    fn transact(&self, change: &RowChange) -> Result<TransactOutcome> {
        self.check_available()?;
        let mut state = self.state.lock();
        let stored_row = |state: &StoreState, table, key: &CompactString| {
            state
                .rows
                .get(&table)
                .and_then(|rows| rows.get(key))
                .cloned()
        };
        let is_satisfied = change.conditions.iter().all(|condition| {
            let row = stored_row(&state, condition.row.table, &condition.row.key);
            row.map_or(0, |row| row.version) == condition.version
        });
        if !is_satisfied {
            let rows = change.conditions.iter().filter_map(|condition| {
                let row = stored_row(&state, condition.row.table, &condition.row.key)?;
                Some((condition.row.table, row))
            });
            let rows = rows.collect();
            return Ok(TransactOutcome::Conflict { rows });
        }
        state.version += 1;
        let version = state.version;
        for put in &change.puts {
            let row = StoreRow {
                key: put.row.key.clone(),
                value: put.value.clone(),
                version,
                is_deleted: false,
            };
            let rows = state.rows.entry(put.row.table).or_default();
            rows.insert(put.row.key.clone(), row.clone());
            state.changes.push((put.row.table, row));
        }
        for name in &change.deletes {
            let rows = state.rows.entry(name.table).or_default();
            rows.remove(&name.key);
            let row = StoreRow {
                key: name.key.clone(),
                value: Bytes::new(),
                version,
                is_deleted: true,
            };
            state.changes.push((name.table, row));
        }
        drop(state);
        self.transactions.fetch_add(1, Ordering::AcqRel);
        self.changed.notify_waiters();
        if self.loses_answers.load(Ordering::Acquire) {
            return Err(PlatformError::NoAnswer {
                reason: "answer lost".to_owned(),
            });
        }
        Ok(TransactOutcome::Committed { version })
    }

    fn read(&self, range: &RowRange) -> Result<RowPage> {
        self.check_available()?;
        let old = self.old_state.lock();
        let current = self.state.lock();
        let state = old.as_ref().unwrap_or(&current);
        let rows = state.rows.get(&range.table).into_iter();
        let is_inside =
            |row: &&StoreRow| RowPartition::of(range.table, &row.key) == range.partition;
        let mut rows: Vec<StoreRow> = rows
            .flat_map(|rows| rows.range(range.from.clone()..))
            .map(|(_, row)| row)
            .filter(is_inside)
            .cloned()
            .collect();
        let limit = range.limit.map_or(PAGE_ROWS, |limit| limit as usize);
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        Ok(RowPage {
            rows,
            has_more,
            position: self.position(state.version),
        })
    }

    async fn follow(&self, request: FollowRequest) -> Result<FollowPage> {
        if self.withholds_changes.load(Ordering::Acquire) {
            sleep(request.wait + request.margin).await;
            return Err(PlatformError::NoAnswer {
                reason: "changes are withheld".to_owned(),
            });
        }
        let wait = async {
            loop {
                let changed = self.changed.notified();
                self.check_available()?;
                let page = self.changes(request);
                if page.1 {
                    return Ok(page.0);
                }
                changed.await;
            }
        };
        match timeout(request.wait, wait).await {
            Ok(result) => result,
            Err(_) => {
                self.check_available()?;
                Ok(self.changes(request).0)
            }
        }
    }

    /// Returns the position of a version. Its time is the time since the store started.
    fn position(&self, version: u64) -> StorePosition {
        let elapsed = self.started.elapsed().as_millis();
        StorePosition {
            version,
            at_ms: u64::try_from(elapsed).ok(),
        }
    }

    fn changes(&self, request: FollowRequest) -> (FollowPage, bool) {
        let state = self.state.lock();
        let rows = state
            .changes
            .iter()
            .filter(|(table, row)| *table == request.table && row.version > request.after);
        let rows: Vec<StoreRow> = rows.map(|(_, row)| row.clone()).collect();
        let has_rows = !rows.is_empty();
        let position = self.position(state.version);
        (FollowPage::Changes { rows, position }, has_rows)
    }
}
