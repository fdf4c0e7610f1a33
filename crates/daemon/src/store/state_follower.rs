use std::sync::Arc;
use std::sync::atomic::Ordering;

use serde::de::DeserializeOwned;
use sesamedeal_core::ids::Generation;
use sesamedeal_store::protocol::TableRow;
use sesamedeal_store::rows::{CONTROLLER_LEASE, HEAD, HeadRecord, SETTLED, SettledRecord};
use slog::{error, info, warn};

use crate::entry_context::{EntryContext, LeaseSighting};
use crate::peer::PeerClient;

/// Reads the head of the change log and puts the records that are missing in force.
#[derive(Debug)]
pub(crate) struct StateFollower {
    pub context: Arc<EntryContext>,
    pub peers: PeerClient,
}

impl StateFollower {
    /// Follows the log until the timer service ends.
    pub(crate) async fn run(self) {
        let mut ticks = self.context.timer.every(self.context.settings.head_period);
        loop {
            tokio::select! {
                tick = ticks.next() => {
                    if tick.is_none() {
                        return;
                    }
                    if self.is_covered() {
                        continue;
                    }
                }
                () = self.context.changed.notified() => {}
            }
            let result = self.follow().await;
            self.note_store(result.is_ok());
            if let Err(failure) = result {
                warn!(self.context.logger, "head not read"; "error" => %failure);
                self.follow_peers().await;
            }
        }
    }

    async fn follow(&self) -> sesamedeal_store::Result<()> {
        let context = &self.context;
        let sent = context.clock.now();
        let keys = [HEAD, SETTLED, CONTROLLER_LEASE];
        let rows = context.client.read(&keys).await?;
        let head = value::<HeadRecord>(&rows, HEAD).unwrap_or_default();
        let settled = value::<SettledRecord>(&rows, SETTLED).unwrap_or_default();
        context.gate.note_read(head.generation, sent);
        // The controller uses the lease row, which saves candidates a read of their own.
        *context.lease.lock() = Some(LeaseSighting::new(&rows, sent, false));
        let current = context.keeper.state().generation;
        let missing = if head.generation > current {
            context.log.missing_after(current).await?
        } else {
            sesamedeal_store::MissingChanges::default()
        };
        let advanced =
            context
                .keeper
                .advance(missing.snapshot, &missing.records, settled.generation);
        if let Err(failure) = advanced.await {
            error!(context.logger, "record cannot be applied"; "error" => %failure);
        }
        Ok(())
    }

    /// Whether the controller of this entry instance has just read what the follower reads.
    fn is_covered(&self) -> bool {
        let (clock, settings) = (&self.context.clock, &self.context.settings);
        // After a failure the follower has to find out itself that the store is back.
        if !self.context.store_up.load(Ordering::Acquire) {
            return false;
        }
        self.context.lease.lock().is_some_and(|sighting| {
            sighting.by_controller && clock.now().since(sighting.sent) < settings.head_period
        })
    }

    /// Takes a newer state from a peer while the store cannot be read.
    async fn follow_peers(&self) {
        let context = &self.context;
        let current = context.keeper.state().generation;
        let addresses = match context.gate.newest_peer() {
            Some((peer, generation)) if generation > current => {
                context.peers.address(peer).into_iter().collect()
            }
            _ if current == Generation::ZERO => context.peers.addresses(),
            _ => return,
        };
        for address in addresses {
            match self.peers.state(&address).await {
                Ok(reply) => {
                    let generation = reply.state.generation;
                    context.peers.note_all(&reply.peers);
                    let advanced = context
                        .keeper
                        .advance(Some(reply.state), &[], reply.settled);
                    if advanced.await.is_ok() && generation > current {
                        info!(context.logger, "state taken from a peer";
                            "peer" => address.as_str(), "generation" => generation.0);
                        return;
                    }
                }
                Err(failure) => {
                    warn!(context.logger, "no state from a peer"; "error" => %failure);
                }
            }
        }
    }

    fn note_store(&self, is_reachable: bool) {
        let was = self.context.store_up.swap(is_reachable, Ordering::AcqRel);
        if was != is_reachable {
            info!(self.context.logger, "table service"; "reachable" => is_reachable);
        }
    }
}

/// Content of a row; none if it is absent. A row of another form counts as absent, so that the
/// head stays readable when only another row is damaged.
fn value<T: DeserializeOwned>(rows: &[TableRow], key: &str) -> Option<T> {
    let row = rows.iter().find(|row| row.key == key)?;
    serde_json::from_value(row.value.clone()).ok()
}
