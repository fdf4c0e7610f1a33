use std::sync::Arc;
use std::time::Duration;

use sesamedeal_core::control::{HealthReport, HealthVerdict};
use slog::warn;

use crate::dispatch::ReadSuggestions;
use crate::entry_context::EntryContext;
use crate::peer::PeerClient;

/// Time between two reports of the same workers. A report may find no budget, or be lost.
const REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Most reports that wait for the controller.
const MAX_REPORTS: usize = 256;

/// Tells the controller which workers this entry instance found failing.
#[derive(Debug)]
pub(crate) struct HealthLoop {
    pub context: Arc<EntryContext>,
    pub peers: PeerClient,
}

impl HealthLoop {
    /// Reports until the timer service ends.
    pub(crate) async fn run(self) {
        let mut ticks = self.context.timer.every(REPORT_PERIOD);
        while ticks.next().await.is_some() {
            self.report().await;
        }
    }

    async fn report(&self) {
        let context = &self.context;
        let applied = context.keeper.state().generation;
        let suggested = context.dispatcher.send(ReadSuggestions).await;
        let suggested = suggested.unwrap_or_default();
        let verdicts = [
            (HealthVerdict::Quarantine, suggested.quarantine),
            (HealthVerdict::Release, suggested.release),
        ];
        let reports: Vec<HealthReport> = verdicts
            .into_iter()
            .flat_map(|(verdict, instances)| {
                instances.into_iter().map(move |instance| HealthReport {
                    instance,
                    verdict,
                    applied,
                })
            })
            .collect();
        let (false, Some(controller)) = (reports.is_empty(), context.controller()) else {
            return;
        };
        if controller == context.session {
            note_health(context, reports);
        } else if let Some(address) = context.peers.address(controller)
            && let Err(failure) = self.peers.report_health(&address, &reports).await
        {
            warn!(context.logger, "workers not reported"; "error" => %failure);
        }
    }
}

/// Keeps reports until the controller's next step. A newer report of an instance replaces an
/// older one.
pub(crate) fn note_health(context: &EntryContext, reports: Vec<HealthReport>) {
    let mut kept = context.health.lock();
    for report in reports {
        kept.retain(|other| other.instance != report.instance);
        if kept.len() < MAX_REPORTS {
            kept.push(report);
        }
    }
}
