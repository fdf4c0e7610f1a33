use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;
use futures::future::join_all;
use sesamedeal_core::jobs::JobId;
use sesamedeal_core::time::TimePoint;
use slog::info;
use tokio::time::timeout;

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use crate::ports::{RowPartition, RowRange, StorePort, StoreTable};
use crate::row_codec::job_key;

/// Interval between two checks of the partitions. Until the next check, writes fail if another
/// partition becomes unreachable.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time within which a partition has to answer a read. The store usually answers within about 10
/// ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Tracks the partitions that do not answer.
///
/// A write that spans partitions needs all of them. Records of jobs in unreachable partitions wait
/// so that the others can be stored.
#[derive(Debug)]
pub(crate) struct PartitionCheck {
    unreachable: BTreeSet<RowPartition>,
    is_requested: bool,
    is_checking: bool,
    next_check: TimePoint,
}

impl PartitionCheck {
    pub(crate) const fn new() -> Self {
        Self {
            unreachable: BTreeSet::new(),
            is_requested: false,
            is_checking: false,
            next_check: TimePoint::ORIGIN,
        }
    }

    /// Requests a check of the partitions after a failed write.
    pub(crate) const fn note_failure(&mut self) {
        self.is_requested = true;
    }

    pub(crate) fn has_unreachable(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// Returns a filter for jobs whose records can be stored.
    pub(crate) fn writable_jobs(&self) -> impl Fn(JobId) -> bool + use<> {
        let unreachable = self.unreachable.clone();
        move |id| {
            unreachable.is_empty()
                || !unreachable.contains(&RowPartition::of(StoreTable::State, &job_key(id)))
        }
    }
}

impl OwnerActor {
    /// Reads a row from each partition, after a failed write and while one is unreachable.
    pub(super) fn check_partitions(&mut self, now: TimePoint) {
        let check = &mut self.writer.partitions;
        let is_due = (check.is_requested || check.has_unreachable()) && now >= check.next_check;
        if !is_due || check.is_checking || !self.parts.store.has_partitions {
            return;
        }
        check.is_requested = false;
        check.is_checking = true;
        check.next_check = now.after(CHECK_PERIOD);
        let store = self.parts.store.clone();
        let call = async move { unreachable_partitions(&store).await };
        self.spawn_call(call, OwnerEvent::PartitionsChecked);
    }

    pub(super) fn handle_partition_check(&mut self, unreachable: BTreeSet<RowPartition>) {
        let check = &mut self.writer.partitions;
        check.is_checking = false;
        if check.unreachable != unreachable {
            info!(self.parts.logger, "partitions checked"; "closed" => unreachable.len());
            check.unreachable = unreachable;
        }
    }
}

/// Partitions that do not answer; empty if no partition answers, since nothing can be stored then.
async fn unreachable_partitions(store: &StorePort) -> BTreeSet<RowPartition> {
    let partitions: Vec<RowPartition> = RowPartition::all(StoreTable::State, true).collect();
    let answers = partitions.iter().map(|partition| {
        let range = RowRange {
            table: StoreTable::State,
            partition: *partition,
            from: CompactString::default(),
            limit: Some(1),
        };
        timeout(ANSWER_TIMEOUT, (store.read)(range))
    });
    let answers = join_all(answers).await;
    let results = partitions.into_iter().zip(answers);
    let unreachable: BTreeSet<RowPartition> = results
        .filter(|(_, answer)| !matches!(answer, Ok(Ok(_))))
        .map(|(partition, _)| partition)
        .collect();
    if unreachable.len() == RowPartition::all(StoreTable::State, true).count() {
        BTreeSet::new()
    } else {
        unreachable
    }
}
