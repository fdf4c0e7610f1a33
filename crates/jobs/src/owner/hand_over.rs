//! Handing over to another entry instance: while only this one cannot reach the store, or when a
//! much larger one could own the pools.

use std::time::Duration;

use compact_str::CompactString;
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

/// Failed writes in a row after which the ownership is offered. With the pause between them, that
/// is about 0.3 s if the store refuses at once.
const OFFER_FAILURES: u32 = 3;

/// Time without a renewal after which one failed write is enough, if nothing else has been answered
/// either. A call without an answer takes 0.9 s to fail.
const SINGLE_FAILURE_AGE: Duration = Duration::from_secs(1);

/// Time without an answer after which the store counts as silent. The table of jobs is answered for
/// at least every 0.3 s; a store that loses single answers does so for every entry instance.
const UNANSWERED_TIME: Duration = Duration::from_millis(800);

/// Time after an offer for which the owner goes on, unless it renews its ownership or knows that
/// nobody has taken it. The answer to an offer takes 0.4 s at most, and a successor takes the
/// ownership within 0.1 s after it received the offer.
pub(super) const OFFER_OVERLAP: Duration = Duration::from_millis(1_200);

/// Pause before a successor is looked for again while the store does not answer.
const SEARCH_RETRY: Duration = Duration::from_millis(250);

/// Time between two questions for a larger instance.
const YIELD_SEARCH_PERIOD: Duration = Duration::from_secs(1);

/// Time within which the owner reads the store itself before it offers the ownership. The store
/// may have come back for everybody.
const OWN_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after a failed write within which the tables are current again, once the store answers: a
/// call under way takes 0.9 s to fail, and the next one follows within 0.4 s.
const RECENT_FAILURE_TIME: Duration = Duration::from_secs(2);

/// What came of the search for a successor.
#[derive(Debug)]
pub(crate) enum SuccessorSearch {
    /// An instance could take the ownership.
    Found(ReadyWatcher),
    /// No instance could, or none answered.
    NotFound,
    /// The store answers this owner again.
    StoreRecovered,
}

/// Attempts of an owner to hand over.
#[derive(Debug, Default)]
pub(super) struct HandOver {
    /// Writes to the store that failed in a row.
    failures: u32,
    /// When a write failed last.
    last_failure: Option<TimePoint>,
    is_searching: bool,
    is_offering: bool,
    /// When the newest offer was made.
    last_offer: TimePoint,
    /// When the owner gives up because an offer may have been taken.
    step_down_at: Option<TimePoint>,
    /// Whether an instance to which the ownership was offered has not answered.
    is_unresolved: bool,
    next_search: TimePoint,
}

impl HandOver {
    /// Notes that a write has failed.
    pub(super) const fn note_failure(&mut self, now: TimePoint) {
        self.failures += 1;
        self.last_failure = Some(now);
    }

    /// Whether a write has failed lately.
    pub(super) fn has_failed(&self, now: TimePoint) -> bool {
        self.last_failure
            .is_some_and(|failed| now.since(failed) < RECENT_FAILURE_TIME)
    }

    /// Notes that a write which was sent at `sent` has renewed the ownership. If it was sent after
    /// the newest offer, nobody has taken that.
    pub(super) fn note_renewal(&mut self, sent: TimePoint) {
        self.failures = 0;
        if sent > self.last_offer {
            self.step_down_at = None;
            self.is_unresolved = false;
        }
    }
}

impl OwnerActor {
    /// Whether this owner tries to hand over. It gives no orders for instances meanwhile, because
    /// a successor may give some at any moment.
    pub(super) fn is_handing_over(&self) -> bool {
        let failures = self.hand_over.failures;
        let is_unanswered = failures > 0
            && !self.parts.lease.is_younger(SINGLE_FAILURE_AGE)
            && !self.parts.health.answered_within(UNANSWERED_TIME);
        failures >= OFFER_FAILURES || is_unanswered || self.hand_over.is_offering
    }

    /// Looks for a successor if it is time.
    ///
    /// Only an offer commits this owner. It goes to an instance that has just read the store, so
    /// that an outage of the store for everybody leaves the ownership where it is.
    pub(super) fn search_successor(&mut self, now: TimePoint) {
        if self.hand_over.step_down_at.is_some_and(|at| at <= now) {
            self.step_down("an offer of it may have been taken");
            return;
        }
        let is_busy = self.hand_over.is_searching || self.hand_over.is_offering;
        if is_busy || now < self.hand_over.next_search {
            return;
        }
        let larger_than = if self.is_handing_over() {
            None
        } else if self.is_loaded && self.writer.has_committed() && !self.is_retiring {
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
        self.spawn_call(search, move |outcome| OwnerEvent::SuccessorSearched {
            is_larger: larger_than.is_some(),
            outcome,
        });
    }

    pub(super) fn handle_search_result(
        &mut self,
        is_larger: bool,
        outcome: Result<SuccessorSearch>,
    ) {
        self.hand_over.is_searching = false;
        let now = BootClock.now();
        if matches!(outcome, Ok(SuccessorSearch::StoreRecovered)) {
            info!(self.parts.logger, "store reached again"; "failures" => self.hand_over.failures);
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
        info!(self.parts.logger, "ownership answered"; "outcome" => ?outcome);
        match outcome {
            Ok(OfferOutcome::Taken) => self.step_down("handed over"),
            Ok(OfferOutcome::Refused) if !self.hand_over.is_unresolved => {
                self.hand_over.step_down_at = None
            }
            Ok(OfferOutcome::Refused) => {}
            Ok(OfferOutcome::Unknown) | Err(_) => self.hand_over.is_unresolved = true,
        }
    }
}

/// Whether the store answers this process at once.
async fn can_read(store: &StorePort) -> bool {
    let range = RowRange {
        table: StoreTable::Owner,
        partition: RowPartition::MAIN,
        from: CompactString::default(),
        limit: Some(1),
    };
    matches!(
        timeout(OWN_READ_TIMEOUT, (store.read)(range)).await,
        Ok(Ok(_))
    )
}
