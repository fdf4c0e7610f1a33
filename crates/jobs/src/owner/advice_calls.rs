use std::collections::HashMap;

use sesamedeal_core::jobs::AdviceRequest;
use sesamedeal_core::time::TimePoint;
use sesamedeal_store::Result;
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
        match outcome {
            Ok(answer) => {
                let valid = answer.valid;
                let allowed: HashMap<_, _> = answer.allowed.into_iter().collect();
                let stored =
                    self.dispatcher
                        .note_advice(request, Some((&allowed, valid)), sent, now);
                info!(self.parts.logger, "advice"; "step" => %request.step, "asked" => request.workers.len(), "allowed" => allowed.len(), "stored" => stored, "valid_ms" => valid.as_millis() as u64);
            }
            Err(error) => {
                warn!(self.parts.logger, "advice request failed"; "step" => %request.step, "error" => %error);
                self.dispatcher.note_advice(request, None, sent, now);
            }
        }
    }
}
