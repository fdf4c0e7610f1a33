use std::collections::BTreeSet;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use sesamedeal_core::jobs::JobId;
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::PlatformError;
use slog::info;
use tokio::time::timeout_at;

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use crate::feeds::AnswerDeadline;
use crate::ports::{RowPartition, RowRange, StorePort, StoreTable};
use crate::row_codec::job_key;

/// Interval between two checks of all partitions while one is unreachable. Until the next check, a
/// write that spans a further unreachable partition gets no answer.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Interval between two reads of the unreachable partitions. Records wait this long after their
/// partition has returned.
const RETURN_CHECK_PERIOD: Duration = Duration::from_millis(300);

/// Time within which a partition has to answer a read, unless the others show that less is enough
/// or more is needed. The store usually answers within about 10 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Multiple of the time in which half of the partitions have answered, for the others.
const ANSWER_MARGIN_FACTOR: u32 = 2;

/// Outcome of a check of partitions.
#[derive(Debug)]
pub(crate) struct PartitionReport {
    /// Whether all partitions were checked, and not only the unreachable ones.
    pub is_full: bool,
    /// Partitions that answered.
    pub reachable: BTreeSet<RowPartition>,
    /// Partitions that did not answer.
    pub unreachable: BTreeSet<RowPartition>,
}

/// Tracks the partitions that do not answer.
///
/// A write that spans partitions needs all of them. Records of jobs in unreachable partitions wait
/// so that the others can be stored.
#[derive(Debug, Default)]
pub(crate) struct PartitionCheck {
    unreachable: BTreeSet<RowPartition>,
    is_requested: bool,
    is_checking: bool,
    next_check: TimePoint,
    is_checking_return: bool,
    next_return_check: TimePoint,
}

impl PartitionCheck {
    /// Requests a check of all partitions, after a write that has failed or is late.
    pub(crate) const fn request(&mut self) {
        self.is_requested = true;
    }

    pub(crate) fn has_unreachable(&self) -> bool {
        !self.unreachable.is_empty()
    }

    /// Whether one of the partitions is known not to answer.
    pub(crate) fn is_any_unreachable(&self, partitions: &BTreeSet<RowPartition>) -> bool {
        !self.unreachable.is_disjoint(partitions)
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
    /// Reads a row from each partition, after a write that has failed or is late, and while one is
    /// unreachable.
    pub(super) fn check_partitions(&mut self, now: TimePoint) {
        if !self.parts.store.has_partitions {
            return;
        }
        let check = &mut self.writer.partitions;
        let is_due = check.has_unreachable() && now >= check.next_check;
        if (check.is_requested || is_due) && !check.is_checking {
            check.is_requested = false;
            check.is_checking = true;
            check.next_check = now.after(CHECK_PERIOD);
            let partitions = RowPartition::all(StoreTable::State, true).collect();
            self.read_partitions(partitions, true);
        }
        let check = &mut self.writer.partitions;
        let is_due = check.has_unreachable() && now >= check.next_return_check;
        if is_due && !check.is_checking_return {
            check.is_checking_return = true;
            check.next_return_check = now.after(RETURN_CHECK_PERIOD);
            let partitions = check.unreachable.clone();
            self.read_partitions(partitions, false);
        }
    }

    fn read_partitions(&self, partitions: BTreeSet<RowPartition>, is_full: bool) {
        let store = self.parts.store.clone();
        let call = async move { check_partitions(&store, partitions, is_full).await };
        self.spawn_call(call, OwnerEvent::PartitionsChecked);
    }

    /// Records which partitions answer. A write that waits for one that does not is given up, so
    /// that the records of the others are stored at once.
    pub(super) fn handle_partition_check(&mut self, report: PartitionReport, now: TimePoint) {
        let check = &mut self.writer.partitions;
        if report.is_full {
            check.is_checking = false;
            check.next_return_check = check.next_return_check.max(now);
        } else {
            check.is_checking_return = false;
        }
        let before = check.unreachable.len();
        let is_unknown = report.is_full && report.reachable.is_empty();
        if is_unknown {
            // Nothing can be stored, so no partition is worse than the others.
            check.unreachable.clear();
        } else {
            check
                .unreachable
                .retain(|partition| !report.reachable.contains(partition));
            check.unreachable.extend(&report.unreachable);
        }
        let unreachable = check.unreachable.len();
        if unreachable != before {
            info!(self.parts.logger, "partitions checked"; "closed" => unreachable, "is_full" => report.is_full);
        }
        self.parts.metrics.set_unreachable_partitions(unreachable);
        self.abandon_write(now);
        self.write(now);
    }
}

/// Reads a row from each of `partitions`.
///
/// Once half of them have answered, the others have as long again as the store seems to need.
async fn check_partitions(
    store: &StorePort,
    partitions: BTreeSet<RowPartition>,
    is_full: bool,
) -> PartitionReport {
    let mut reads: FuturesUnordered<_> = partitions
        .iter()
        .map(|&partition| async move {
            let range = RowRange::first_row(StoreTable::State, partition);
            let result = (store.read)(range).await;
            // A partition that returns an old state answers.
            let is_answered = matches!(result, Ok(_) | Err(PlatformError::Outdated { .. }));
            (partition, is_answered)
        })
        .collect();
    // One that has returned is reported soon, although others are still silent.
    let count = if is_full { partitions.len() } else { 1 };
    let mut wait = AnswerDeadline::new(count, ANSWER_TIMEOUT, ANSWER_MARGIN_FACTOR);
    let mut reachable = BTreeSet::new();
    while let Ok(Some((partition, is_answered))) = timeout_at(wait.deadline(), reads.next()).await {
        if is_answered {
            reachable.insert(partition);
            wait.note_answer();
        }
    }
    PartitionReport {
        is_full,
        unreachable: partitions.difference(&reachable).copied().collect(),
        reachable,
    }
}
