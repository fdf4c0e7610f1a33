use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sesamedeal_store::Result;
use slog::{Logger, debug};
use tokio::time::{MissedTickBehavior, interval, timeout_at};

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use super::owner_loop::READ_RETRY_PAUSE;
use crate::StoreHealth;
use crate::feeds::{AnswerDeadline, read_partition};
use crate::ports::{RowPartition, RowRange, StorePort, StorePosition, StoreRow, StoreTable};

/// Interval between two calls to a partition that does not answer. A call that is lost takes 0.9 s to
/// fail, so the next ones are sent before that.
const PROBE_PERIOD: Duration = Duration::from_millis(250);

/// Time after which a new owner starts with fewer than half of the partitions. A slow store takes
/// 0.25 s for a call, and a partition needs three calls or more.
const START_LIMIT: Duration = Duration::from_millis(1_000);

/// Multiple of the time in which half of the partitions are read, for the others, before a new owner
/// starts without them.
const ANSWER_MARGIN_FACTOR: u32 = 2;

/// Stored jobs of a partition.
#[derive(Debug)]
pub(crate) struct LoadedPartition {
    pub partition: RowPartition,
    /// Rows of the state table.
    pub states: Vec<StoreRow>,
    /// Rows of the job table, read after the states.
    pub jobs: Vec<StoreRow>,
    /// Position of the store when the first of `jobs` was read.
    pub position: StorePosition,
}

/// Reads the stored jobs for a new owner, each partition on its own.
#[derive(Debug)]
pub(crate) struct PartitionLoader {
    pub store: StorePort,
    pub health: StoreHealth,
    pub logger: Logger,
}

impl PartitionLoader {
    /// Sends the partitions that can be read soon together, and then each other one as it answers.
    pub(crate) async fn run(self, owner: xtra::Address<OwnerActor>) {
        let partitions = RowPartition::all(StoreTable::Job, self.store.has_partitions);
        let mut reads: FuturesUnordered<_> =
            partitions.map(|partition| self.load(partition)).collect();
        let mut wait = AnswerDeadline::new(reads.len(), START_LIMIT, ANSWER_MARGIN_FACTOR);
        let mut first = Vec::new();
        while let Ok(Some(loaded)) = timeout_at(wait.deadline(), reads.next()).await {
            first.push(loaded);
            wait.note_answer();
        }
        if first.is_empty() {
            first.extend(reads.next().await);
        }
        let mut next = Some(first);
        while let Some(loaded) = next {
            // The owner's mailbox is closed once the ownership is lost.
            if owner.send(OwnerEvent::Loaded(loaded)).await.is_err() {
                return;
            }
            next = reads.next().await.map(|loaded| vec![loaded]);
        }
    }

    async fn load(&self, partition: RowPartition) -> LoadedPartition {
        loop {
            self.wait_for_answer(partition).await;
            match self.read(partition).await {
                Ok(loaded) => return loaded,
                Err(error) => {
                    debug!(self.logger, "failed to read a partition"; "partition" => partition.number(), "error" => %error);
                    tokio::time::sleep(READ_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Reads the states before the jobs: a state without a job is of a job that has ended.
    async fn read(&self, partition: RowPartition) -> Result<LoadedPartition> {
        let (states, _) = read_partition(&self.store, StoreTable::State, partition).await?;
        let (jobs, position) = read_partition(&self.store, StoreTable::Job, partition).await?;
        Ok(LoadedPartition {
            partition,
            states,
            jobs,
            position,
        })
    }

    async fn wait_for_answer(&self, partition: RowPartition) {
        let mut probes = FuturesUnordered::new();
        let mut ticks = interval(PROBE_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let range = RowRange::first_row(StoreTable::State, partition);
            tokio::select! {
                Some(result) = probes.next() => {
                    let result: Result<_> = result;
                    if result.is_ok() {
                        self.health.record(&result);
                        return;
                    }
                }
                _ = ticks.tick() => probes.push((self.store.read)(range)),
            }
        }
    }
}
