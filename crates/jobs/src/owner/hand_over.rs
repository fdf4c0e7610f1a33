//! Hands the ownership over to another entry instance: while only this one cannot reach the store,
//! or when a much larger one could own the pools.

use std::time::Duration;

use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
use slog::info;
use tokio::time::timeout;

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use crate::BootClock;
use crate::ports::{
    OfferOutcome, ReadyWatcher, RowPartition, RowRange, StorePort, StoreTable, SuccessorQuery,
};

/// Consecutive failed writes after which the ownership is offered. With the pauses between them,
/// this takes about 0.3 s if the store refuses at once.
const OFFER_FAILURES: u32 = 3;

/// Time without a renewal after which one failed write is enough to offer the ownership, if no
/// other store call has been answered either. An unanswered call takes 0.9 s to fail.
const SINGLE_FAILURE_AGE: Duration = Duration::from_secs(1);

/// Time without any answer after which the store counts as unresponsive. Reads of the job table are
/// answered at least every 0.3 s; a store that loses individual answers does so for every entry
/// instance.
const UNANSWERED_TIME: Duration = Duration::from_millis(800);

/// Time for which the owner continues after an offer, unless it renews its ownership or learns that
/// no instance has taken it. The answer to an offer takes at most 0.4 s, and a successor takes the
/// ownership within 0.1 s of receiving the offer.
pub(super) const OFFER_OVERLAP: Duration = Duration::from_millis(1_200);

/// Pause between searches for a successor while the store does not answer.
const SEARCH_RETRY: Duration = Duration::from_millis(250);

/// Interval between searches for a larger instance.
const YIELD_SEARCH_PERIOD: Duration = Duration::from_secs(1);

/// Time-out of the owner's own read of the store before it offers the ownership. The store may have
/// recovered for every instance.
const OWN_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after a failed write until the tables are current again, once the store answers: a call in
/// flight takes 0.9 s to fail, and the next one follows within 0.4 s.
const RECENT_FAILURE_TIME: Duration = Duration::from_secs(2);

/// Result of a search for a successor.
#[derive(Debug)]
pub(crate) enum SuccessorSearch {
    /// An instance could take the ownership.
    Found(ReadyWatcher),
    /// No instance could take it, or none answered.
    NotFound,
    /// The store answers this owner again.
    StoreRecovered,
}

/// State of the owner's attempts to hand over.
#[derive(Debug, Default)]
pub(super) struct HandOver {
    /// Consecutive failed writes to the store.
    failures: u32,
    /// When the last write failed.
    last_failure: Option<TimePoint>,
    is_searching: bool,
    is_offering: bool,
    /// When the newest offer was made.
    last_offer: TimePoint,
    /// When the owner steps down because an instance may have accepted an offer.
    step_down_at: Option<TimePoint>,
    /// Whether an instance has not answered an offer, so that it may have accepted it.
    has_unanswered_offer: bool,
    next_search: TimePoint,
}

impl HandOver {
    /// Records a failed write.
    pub(super) const fn note_failure(&mut self, now: TimePoint) {
        self.failures += 1;
        self.last_failure = Some(now);
    }

    /// Records a write that failed only because a partition does not answer. It does not count as a
    /// failure of this owner: others cannot reach the partition either.
    pub(super) const fn note_partition_failure(&mut self, now: TimePoint) {
        self.last_failure = Some(now);
    }

    /// Whether a write has failed recently.
    pub(super) fn has_failed(&self, now: TimePoint) -> bool {
        self.last_failure
            .is_some_and(|failed| now.since(failed) < RECENT_FAILURE_TIME)
    }

    /// Records that a write sent at `sent` has renewed the ownership. If it was sent after the
    /// newest offer, no instance has accepted that offer.
    pub(super) fn note_renewal(&mut self, sent: TimePoint) {
        self.failures = 0;
        if sent > self.last_offer {
            self.step_down_at = None;
            self.has_unanswered_offer = false;
        }
    }
}

impl OwnerActor {
    /// Whether this owner is trying to hand over. Meanwhile it sends no orders for instances,
    /// because a successor may send some at any moment.
    pub(super) fn is_handing_over(&self) -> bool {
        let failures = self.hand_over.failures;
        let is_unanswered = failures > 0
            && !self.parts.lease.is_recent(SINGLE_FAILURE_AGE)
            && !self.parts.health.answered_within(UNANSWERED_TIME);
        failures >= OFFER_FAILURES || is_unanswered || self.hand_over.is_offering
    }

    /// Searches for a successor if a search is due.
    ///
    /// Only an offer commits this owner. The offer goes to an instance that has just read the
    /// store, so that a store outage that affects every instance does not move the ownership.
    pub(super) fn search_successor(&mut self, now: TimePoint) {
        if self.hand_over.step_down_at.is_some_and(|at| at <= now) {
            self.step_down("another instance may have accepted an offer");
            return;
        }
        let is_busy = self.hand_over.is_searching || self.hand_over.is_offering;
        if is_busy || now < self.hand_over.next_search {
            return;
        }
        let larger_than = if self.is_handing_over() {
            None
        } else if self.is_complete() && self.writer.has_committed() && !self.is_retiring {
            Some(self.parts.peers.capacity)
        } else {
            return;
        };
        self.hand_over.is_searching = true;
        let epoch = self.parts.lease.epoch;
        let call = (self.parts.peers.find_successor)(SuccessorQuery { epoch, larger_than });
        let store = self.parts.store.clone();
        let search = async move {
            let watcher = call.await?;
            if watcher.is_some() && larger_than.is_none() && can_read(&store).await {
                return Ok(SuccessorSearch::StoreRecovered);
            }
            Ok(watcher.map_or(SuccessorSearch::NotFound, SuccessorSearch::Found))
        };
        self.spawn_call(search, move |outcome| OwnerEvent::Searched {
            is_larger: larger_than.is_some(),
            outcome,
        });
    }

    pub(super) fn handle_search(&mut self, is_larger: bool, outcome: Result<SuccessorSearch>) {
        self.hand_over.is_searching = false;
        let now = BootClock.now();
        if matches!(outcome, Ok(SuccessorSearch::StoreRecovered)) {
            info!(self.parts.logger, "store is reachable again"; "failures" => self.hand_over.failures);
            self.write_after = now;
        }
        let pause = if self.is_handing_over() {
            SEARCH_RETRY
        } else {
            YIELD_SEARCH_PERIOD
        };
        self.hand_over.next_search = now.after(pause);
        let Ok(SuccessorSearch::Found(watcher)) = outcome else {
            return;
        };
        if self.is_handing_over() {
            self.offer_ownership(watcher, now);
        } else if is_larger {
            self.yield_to(watcher.capacity);
        }
    }

    fn offer_ownership(&mut self, watcher: ReadyWatcher, now: TimePoint) {
        self.hand_over.is_offering = true;
        self.hand_over.last_offer = now;
        self.hand_over
            .step_down_at
            .get_or_insert(now.after(OFFER_OVERLAP));
        let epoch = self.parts.lease.epoch;
        info!(self.parts.logger, "ownership offered"; "failures" => self.hand_over.failures, "watcher" => watcher.number);
        let call = (self.parts.peers.offer)((epoch, watcher.number));
        self.spawn_call(call, OwnerEvent::OfferEnded);
    }

    pub(super) fn handle_offer_result(&mut self, outcome: Result<OfferOutcome>) {
        self.hand_over.is_offering = false;
        self.hand_over.next_search = BootClock.now().after(SEARCH_RETRY);
        info!(self.parts.logger, "offer of the ownership ended"; "outcome" => ?outcome);
        match outcome {
            Ok(OfferOutcome::Taken) => self.step_down("handed over"),
            Ok(OfferOutcome::Refused) if !self.hand_over.has_unanswered_offer => {
                self.hand_over.step_down_at = None
            }
            Ok(OfferOutcome::Refused) => {}
            Ok(OfferOutcome::Unknown) | Err(_) => self.hand_over.has_unanswered_offer = true,
        }
    }
}

/// Whether the store answers this process within [`OWN_READ_TIMEOUT`].
async fn can_read(store: &StorePort) -> bool {
    let range = RowRange::first_row(StoreTable::Owner, RowPartition::MAIN);
    matches!(
        timeout(OWN_READ_TIMEOUT, (store.read)(range)).await,
        Ok(Ok(_))
    )
}
