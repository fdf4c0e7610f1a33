use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::exchange::ExchangeMessage;
use sesamedeal_core::fleet::SessionView;
use sesamedeal_core::ids::SessionId;
use sesamedeal_core::membership::SessionState;
use sesamedeal_core::time::TimePoint;
use sesamedeal_wire::peer::PeerMessage;
use slog::debug;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::PeerClient;
use crate::dispatch::{BuildExchange, TakeExchange};
use crate::entry_context::EntryContext;
use crate::session::session_rows;

/// Most exchanges under way at once.
const MAX_CALLS: usize = 16;

/// Part of the evidence's lifetime after which relayed news of sessions is sent. While the table
/// service answers, evidence is seldom that old; in an outage the rest of the lifetime is enough
/// for three exchanges before work that needs a key depends on the news.
const RELAY_SHARE: f64 = 0.35;

/// Exchanges messages with one peer after the other, and with those that the scheduler names.
#[derive(Debug)]
pub(crate) struct PeerLoop {
    pub context: Arc<EntryContext>,
    pub client: PeerClient,
    pub wanted: mpsc::Receiver<SessionId>,
}

impl PeerLoop {
    /// Exchanges until the timer service ends.
    pub(crate) async fn run(mut self) {
        let period = self.context.settings.exchange_period;
        let mut ticks = self.context.timer.every(period);
        let mut calls = JoinSet::new();
        let mut last = self.context.session;
        let mut read_view: Option<SessionView> = None;
        loop {
            let peer = tokio::select! {
                tick = ticks.next() => {
                    if tick.is_none() {
                        return;
                    }
                    self.refresh(&mut read_view).await;
                    let next = self.context.peers.next_after(last);
                    last = next.unwrap_or(last);
                    next
                }
                Some(peer) = self.wanted.recv() => Some(peer),
            };
            while calls.try_join_next().is_some() {}
            if let Some(peer) = peer
                && calls.len() < MAX_CALLS
            {
                calls.spawn(exchange(
                    Arc::clone(&self.context),
                    self.client.clone(),
                    peer,
                ));
            }
        }
    }

    /// Reads the session rows when the view has changed or an address is missing.
    async fn refresh(&self, read_view: &mut Option<SessionView>) {
        let state = self.context.keeper.state();
        let peers = &self.context.peers;
        if read_view.as_ref() == Some(&state.view) && peers.covers(&state.view) {
            return;
        }
        let Ok(rows) = session_rows(&self.context.client).await else {
            return;
        };
        for row in rows {
            if row.state != SessionState::Left {
                peers.note(row.session, &row.address);
            }
        }
        peers.trim(&state.view);
        *read_view = Some(state.view.clone());
    }
}

/// One push-pull exchange. A failure needs no repetition, because the next turn replaces it.
async fn exchange(context: Arc<EntryContext>, client: PeerClient, peer: SessionId) {
    let Some(address) = context.peers.address(peer) else {
        return;
    };
    let sent = context.clock.now();
    let Some(message) = message_to(&context, peer).await else {
        return;
    };
    match client.exchange(&address, &message).await {
        Ok(answer) => take_answer(&context, answer, sent).await,
        Err(failure) => {
            debug!(context.logger, "no exchange with a peer"; "error" => %failure);
            let state = context.keeper.state();
            context.peers.drop_outsider(peer, &state.view);
        }
    }
}

async fn take_answer(context: &EntryContext, answer: PeerMessage, sent: TimePoint) {
    note_sender(context, &answer);
    context.gate.note_answer(&answer.exchange, sent);
    let message = aged(answer.exchange, context.clock.now().since(sent));
    // An actor that has ended holds no units.
    drop(context.dispatcher.send(TakeExchange { message }).await);
}

/// Adds the time since the request was sent to all ages of an answer. The answer may have waited
/// while this process was paused, and ages must not look smaller than they are.
fn aged(mut message: ExchangeMessage, elapsed: Duration) -> ExchangeMessage {
    let add = |age: &mut Option<Duration>| *age = age.map(|age| age + elapsed);
    add(&mut message.evidence_age);
    for record in &mut message.heard {
        record.age += elapsed;
        add(&mut record.evidence_age);
    }
    message
}

/// Builds the message to a peer; none after the dispatcher has ended.
pub(super) async fn message_to(context: &EntryContext, peer: SessionId) -> Option<PeerMessage> {
    let mut exchange = context.dispatcher.send(BuildExchange { peer }).await.ok()?;
    exchange.evidence_age = context.gate.age();
    // What other sessions are heard of is needed only when the table service does not answer. It
    // would be a quarter of all control bytes otherwise.
    let relays_from = context.settings.evidence.mul_f64(RELAY_SHARE);
    if exchange.evidence_age.is_some_and(|age| age < relays_from) {
        exchange.heard.clear();
    }
    let state = context.keeper.state();
    let is_known = state.view.contains(context.session);
    Some(PeerMessage {
        address: (!is_known).then(|| context.address_text()),
        exchange,
    })
}

/// Takes note of where the sender of a message is reached.
pub(super) fn note_sender(context: &EntryContext, message: &PeerMessage) {
    if let Some(address) = &message.address {
        context.peers.note(message.exchange.from, address);
    }
}
