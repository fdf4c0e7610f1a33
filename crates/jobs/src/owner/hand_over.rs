//! Handing over to another entry instance while only this one cannot reach the store.

use std::time::Duration;

use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
use slog::info;

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use crate::BootClock;
use crate::ports::OfferEnd;

/// Failed writes in a row after which the ownership is offered. With the pause between them, that
/// is about 0.3 s if the store refuses at once.
const OFFER_FAILURES: u32 = 3;

/// Time without a renewal after which one failed write is enough, if nothing else has been answered
/// either. A call without an answer takes 0.9 s to fail.
const OFFER_AGE: Duration = Duration::from_secs(1);

/// Time without an answer after which the store counts as silent. The table of jobs is answered for
/// at least every 0.3 s; a store that loses single answers does so for every entry instance.
const SILENCE: Duration = Duration::from_millis(800);

/// Time after an offer for which the owner goes on, unless it renews its ownership or knows that
/// nobody has taken it. An attempt asks three instances for 0.4 s each.
pub(super) const OFFER_EXTENSION: Duration = Duration::from_millis(1_200);

/// Pause before the ownership is offered again.
const OFFER_PAUSE: Duration = Duration::from_millis(400);

/// Attempts of an owner to hand over.
#[derive(Debug, Default)]
pub(super) struct HandOver {
    /// Writes to the store that failed in a row.
    failures: u32,
    is_offering: bool,
    /// When the newest offer was made.
    offered: TimePoint,
    /// When the owner gives up because an offer may have been taken.
    give_up: Option<TimePoint>,
    /// Whether an instance that was asked has not answered.
    is_doubtful: bool,
    next_offer: TimePoint,
}

impl HandOver {
    /// Notes that a write has failed.
    pub(super) const fn note_failure(&mut self) {
        self.failures += 1;
    }

    /// Notes that a write which was sent at `sent` has renewed the ownership. If it was sent after
    /// the newest offer, nobody has taken that.
    pub(super) fn note_renewal(&mut self, sent: TimePoint) {
        self.failures = 0;
        if sent > self.offered {
            self.give_up = None;
            self.is_doubtful = false;
        }
    }
}

impl OwnerActor {
    /// Whether this owner tries to hand over. It gives no orders for instances meanwhile, because
    /// a successor may give some at any moment.
    pub(super) fn is_handing_over(&self) -> bool {
        let failures = self.hand_over.failures;
        let is_silent = failures > 0
            && !self.parts.lease.is_younger(OFFER_AGE)
            && !self.parts.health.has_answered(SILENCE);
        failures >= OFFER_FAILURES || is_silent || self.hand_over.is_offering
    }

    /// Offers the ownership if it is time.
    pub(super) fn offer_ownership(&mut self, now: TimePoint) {
        if self.hand_over.give_up.is_some_and(|at| at <= now) {
            self.step_down("an offer of it may have been taken");
            return;
        }
        if !self.is_handing_over() || self.hand_over.is_offering || now < self.hand_over.next_offer
        {
            return;
        }
        self.hand_over.is_offering = true;
        self.hand_over.offered = now;
        self.hand_over
            .give_up
            .get_or_insert(now.after(OFFER_EXTENSION));
        let epoch = self.parts.lease.epoch;
        info!(self.parts.logger, "ownership offered"; "failures" => self.hand_over.failures);
        let call = (self.parts.peers.offer)(epoch);
        self.react(call, OwnerEvent::Offered);
    }

    pub(super) fn take_offered(&mut self, outcome: Result<OfferEnd>) {
        self.hand_over.is_offering = false;
        self.hand_over.next_offer = BootClock.now().after(OFFER_PAUSE);
        info!(self.parts.logger, "ownership answered"; "outcome" => ?outcome);
        match outcome {
            Ok(OfferEnd::Taken) => self.step_down("handed over"),
            Ok(OfferEnd::Refused) if !self.hand_over.is_doubtful => self.hand_over.give_up = None,
            Ok(OfferEnd::Refused) => {}
            Ok(OfferEnd::Unknown) | Err(_) => self.hand_over.is_doubtful = true,
        }
    }
}
