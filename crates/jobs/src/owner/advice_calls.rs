use std::collections::HashMap;

use sesamedeal_core::jobs::{AdviceOutcome, AdviceRequest};
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::{PlatformError, Result};
use slog::{info, warn};

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use crate::BootClock;
use crate::ports::{AdviceAnswer, AdviceCall};

impl OwnerActor {
    /// Requests missing tickets from the policy service.
    pub(super) fn request_advice(&mut self, now: TimePoint) {
        let Some(port) = self.parts.advice.clone() else {
            return;
        };
        for request in self.dispatcher.take_advice_requests(now) {
            let names = request.workers.iter().filter_map(|key| {
                let worker = self.dispatcher.worker(*key)?;
                Some(worker.name.clone())
            });
            let call = (port.advise)(AdviceCall {
                step: request.step,
                workers: names.collect(),
                timeout: request.timeout,
            });
            self.spawn_call(call, move |outcome| OwnerEvent::Advised {
                request,
                sent: now,
                outcome,
            });
        }
    }

    pub(super) fn handle_advice(
        &mut self,
        request: &AdviceRequest,
        sent: TimePoint,
        outcome: Result<AdviceAnswer>,
    ) {
        let now = BootClock.now();
        let waited_ms = now.since(sent).as_millis() as u64;
        let open = self.dispatcher.open_advice_requests();
        match outcome {
            Ok(answer) => {
                let valid = answer.valid;
                let allowed: HashMap<_, _> = answer.allowed.into_iter().collect();
                let outcome = AdviceOutcome::Answered {
                    allowed: &allowed,
                    valid,
                };
                let stored = self.dispatcher.note_advice(request, outcome, now);
                info!(self.parts.logger, "advice"; "step" => %request.step, "asked" => request.workers.len(), "allowed" => allowed.len(), "stored" => stored, "valid_ms" => valid.as_millis() as u64, "waited_ms" => waited_ms, "work_ms" => request.work.as_millis() as u64, "open" => open);
            }
            Err(error) => {
                warn!(self.parts.logger, "advice request failed"; "step" => %request.step, "error" => %error, "asked" => request.workers.len(), "waited_ms" => waited_ms, "work_ms" => request.work.as_millis() as u64, "timeout_ms" => request.timeout.as_millis() as u64, "open" => open);
                let outcome = match error {
                    PlatformError::NoAnswer { .. } => AdviceOutcome::Unanswered,
                    _ => AdviceOutcome::Refused,
                };
                self.dispatcher.note_advice(request, outcome, now);
            }
        }
    }
}
