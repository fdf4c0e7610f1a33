//! Waits of an entry instance that leaves the fleet.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::dispatch::{HandOverUnits, ReadProgress, ReadUnconfirmed};
use crate::entry_context::EntryContext;

/// Time between two checks whether a leaving entry instance has work left.
const IDLE_CHECK: Duration = Duration::from_millis(10);

/// Time that a leaving entry instance waits for the peers to confirm its units. It is a few times
/// as long as an exchange takes across regions.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(500);

/// Waits until no attempt holds units.
pub(crate) async fn wait_idle(context: &EntryContext) {
    while let Ok(progress) = context.dispatcher.send(ReadProgress).await {
        if progress.running == 0 {
            return;
        }
        sleep(IDLE_CHECK).await;
    }
}

/// Hands the units over to peers and waits until they have confirmed it. A peer that does not
/// answer gets the units when the view no longer lists this session.
pub(crate) async fn hand_over_units(context: &EntryContext) {
    let limit = Instant::now() + HAND_OVER_LIMIT;
    if context.dispatcher.send(HandOverUnits).await.is_err() {
        return;
    }
    while context.dispatcher.send(ReadUnconfirmed).await == Ok(true) && Instant::now() < limit {
        sleep(IDLE_CHECK).await;
    }
}
