use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::FutureExt;
use sesamedeal_jobs::ports::{
    FollowPage, FollowRequest, RowPage, StorePort, StorePosition, StoreRow, StoreTable,
};
use sesamedeal_store::{PlatformError, Result};
use tokio::time::{Instant, sleep, sleep_until};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// Time after which a client abandons a read.
const READ_DEADLINE: Duration = Duration::from_millis(900);

/// Disruption of the store or of the connections to it. Times are since the start of the store.
#[derive(Debug, Clone, Copy)]
pub enum StoreFault {
    /// The store answers no call that is in progress in this time, ever.
    Silence { from: Duration, until: Duration },
    /// The store refuses all calls in this time, and ends those in progress.
    Refusal { from: Duration, until: Duration },
    /// Answers that are due in this time take longer by `delay`.
    Delay {
        from: Duration,
        until: Duration,
        delay: Duration,
    },
    /// The connections that are open at this time deliver nothing any more.
    SilentConnections { at: Duration },
    /// The store drops the history before `at`.
    DroppedHistory { at: Duration },
    /// Reads in this time return the state of `lag` before.
    LaggingReads {
        from: Duration,
        until: Duration,
        lag: Duration,
    },
}

impl StoreFault {
    /// End of the disruption, since the start of the store.
    pub fn end(self) -> Duration {
        match self {
            Self::Silence { until, .. }
            | Self::Refusal { until, .. }
            | Self::LaggingReads { until, .. } => until,
            Self::Delay { until, delay, .. } => until + delay,
            Self::SilentConnections { at } | Self::DroppedHistory { at } => at,
        }
    }

    /// Begin of the disruption, since the start of the store.
    pub fn begin(self) -> Duration {
        match self {
            Self::Silence { from, .. }
            | Self::Refusal { from, .. }
            | Self::Delay { from, .. }
            | Self::LaggingReads { from, .. } => from,
            Self::SilentConnections { at } | Self::DroppedHistory { at } => at,
        }
    }
}

/// Store whose configuration changes at set times and whose faults are set in advance. What a call
/// returns follows from the time alone, so that a paused clock makes each run the same.
#[derive(Debug, Clone)]
pub struct TimedStore {
    started: Instant,
    changes: Arc<Vec<Duration>>,
    faults: Arc<Vec<StoreFault>>,
    /// Number of reads of the configuration.
    pub reads: Arc<AtomicU64>,
}

impl TimedStore {
    /// Creates a store in which version `n + 1` of the configuration is acknowledged at
    /// `changes[n]`. The times are in ascending order.
    pub fn new(changes: Vec<Duration>, faults: Vec<StoreFault>) -> Self {
        Self {
            started: Instant::now(),
            changes: Arc::new(changes),
            faults: Arc::new(faults),
            reads: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Newest version that is acknowledged at `time`; 0 if there is none.
    pub fn version_at(&self, time: Duration) -> u64 {
        self.changes
            .iter()
            .filter(|change| **change <= time)
            .count() as u64
    }

    pub fn port(&self) -> StorePort {
        let (reads, follows) = (self.clone(), self.clone());
        StorePort {
            has_partitions: true,
            transact: Arc::new(|_change| {
                // Nobody owns the pools.
                let error = PlatformError::Unreachable {
                    reason: "the store takes no changes".to_owned(),
                };
                async move { Err(error) }.boxed()
            }),
            read: Arc::new(move |range| {
                let store = reads.clone();
                async move { store.read(range.table).await }.boxed()
            }),
            follow: Arc::new(move |request| {
                let store = follows.clone();
                async move { store.follow(request).await }.boxed()
            }),
        }
    }

    async fn read(&self, table: StoreTable) -> Result<RowPage> {
        if table == StoreTable::Intent {
            self.reads.fetch_add(1, Ordering::AcqRel);
        }
        let sent = self.now();
        self.deliver(sent, sent, READ_DEADLINE).await?;
        let lag = self.faults.iter().filter_map(|fault| match fault {
            StoreFault::LaggingReads { from, until, lag } if *from <= sent && sent < *until => {
                Some(*lag)
            }
            _ => None,
        });
        let state = sent.saturating_sub(lag.max().unwrap_or_default());
        Ok(RowPage {
            rows: self.rows(table, 0, state),
            has_more: false,
            position: self.position(state),
        })
    }

    async fn follow(&self, request: FollowRequest) -> Result<FollowPage> {
        let sent = self.now();
        let limit = request.wait + request.margin;
        if request.after < self.dropped_version(sent) {
            self.deliver(sent, sent, limit).await?;
            return Ok(FollowPage::HistoryGone);
        }
        let next = self.changes.get(usize::try_from(request.after).unwrap());
        let change = next.filter(|_| request.table == StoreTable::Intent);
        let due = change.map_or(sent + request.wait, |at| {
            (*at).clamp(sent, sent + request.wait)
        });
        self.deliver(sent, due, limit).await?;
        Ok(FollowPage::Changes {
            rows: self.rows(request.table, request.after, due),
            position: self.position(due),
        })
    }

    /// Waits for the answer to a call that was sent at `sent` and is answered at `due`. Fails when
    /// it is refused or when no answer arrives before `limit` has passed.
    async fn deliver(&self, sent: Duration, due: Duration, limit: Duration) -> Result<()> {
        let mut answered = Some(due + ANSWER_TIME);
        for fault in self.faults.iter() {
            match *fault {
                StoreFault::Silence { from, until } if sent < until && from <= due => {
                    answered = None;
                }
                StoreFault::SilentConnections { at } if sent <= at && at <= due => answered = None,
                StoreFault::Delay { from, until, delay } if from <= due && due < until => {
                    answered = answered.map(|at| at + delay);
                }
                StoreFault::Refusal { from, until } if sent < until && from <= due => {
                    sleep_until(self.started + sent.max(from) + ANSWER_TIME).await;
                    return Err(PlatformError::Unreachable {
                        reason: "refused".to_owned(),
                    });
                }
                _ => {}
            }
        }
        if let Some(at) = answered.filter(|at| *at < sent + limit) {
            sleep_until(self.started + at).await;
            return Ok(());
        }
        sleep(limit).await;
        Err(PlatformError::NoAnswer {
            reason: "no answer in time".to_owned(),
        })
    }

    /// Version up to which the history is gone at `time`.
    fn dropped_version(&self, time: Duration) -> u64 {
        let drops = self.faults.iter().filter_map(|fault| match fault {
            StoreFault::DroppedHistory { at } if *at <= time => Some(self.version_at(*at)),
            _ => None,
        });
        drops.max().unwrap_or(0)
    }

    fn rows(&self, table: StoreTable, after: u64, state: Duration) -> Vec<StoreRow> {
        let version = self.version_at(state);
        if table != StoreTable::Intent || version <= after {
            return Vec::new();
        }
        vec![StoreRow {
            key: "config".into(),
            value: version.to_string().into(),
            version,
            is_deleted: false,
        }]
    }

    fn position(&self, state: Duration) -> StorePosition {
        StorePosition {
            version: self.version_at(state),
            at_ms: u64::try_from(state.as_millis()).ok(),
        }
    }
}
