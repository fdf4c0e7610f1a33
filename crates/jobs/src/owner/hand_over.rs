//! Handing over to another entry instance while only this one cannot reach the store.

use std::time::Duration;

use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
use slog::info;

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use crate::BootClock;

/// Failed writes in a row after which the ownership is offered. With the pause between them, that
/// is about 0.3 s if the store refuses at once.
const OFFER_FAILURES: u32 = 3;

/// Time without a renewal after which one failed write is enough. A call without an answer takes
/// 0.9 s to fail.
const OFFER_AGE: Duration = Duration::from_secs(1);

/// Pause before the ownership is offered again.
const OFFER_PAUSE: Duration = Duration::from_millis(400);

/// Attempts of an owner to hand over.
#[derive(Debug, Default)]
pub(super) struct HandOver {
    /// Writes to the store that failed in a row.
    pub(super) failures: u32,
    is_offering: bool,
    next_offer: TimePoint,
}

impl OwnerActor {
    /// Whether this owner tries to hand over. It gives no orders for instances meanwhile, because
    /// a successor may give some at any moment.
    pub(super) fn is_handing_over(&self) -> bool {
        let has_failed = self.hand_over.failures >= OFFER_FAILURES
            || (self.hand_over.failures > 0 && !self.parts.lease.is_younger(OFFER_AGE));
        has_failed || self.hand_over.is_offering
    }

    /// Offers the ownership if it is time.
    pub(super) fn offer_ownership(&mut self, now: TimePoint) {
        if !self.is_handing_over() || self.hand_over.is_offering || now < self.hand_over.next_offer
        {
            return;
        }
        self.hand_over.is_offering = true;
        let epoch = self.parts.lease.epoch;
        info!(self.parts.logger, "ownership offered"; "failures" => self.hand_over.failures);
        let call = (self.parts.peers.offer)(epoch);
        let owner = self.sender.owner.clone();
        tokio::spawn(async move {
            let outcome = call.await;
            // The owner has gone when the ownership was lost.
            drop(owner.send(OwnerEvent::Offered(outcome)).await);
        });
    }

    pub(super) fn take_offered(&mut self, outcome: Result<bool>) {
        self.hand_over.is_offering = false;
        self.hand_over.next_offer = BootClock.now().after(OFFER_PAUSE);
        info!(self.parts.logger, "ownership answered"; "outcome" => ?outcome);
        if matches!(outcome, Ok(true)) {
            self.step_down("handed over");
        }
    }
}
