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
                info!(self.parts.logger, "advice"; "step" => %request.step, "asked" => request.workers.len(), "allowed" => answer.allowed.len(), "valid_ms" => answer.valid.as_millis() as u64);
                let allowed = answer.allowed.into_iter().filter_map(|(name, ticket)| {
                    let key = self.dispatcher.worker_key(&name)?;
                    Some((key, ticket))
                });
                let allowed: HashMap<_, _> = allowed.collect();
                let answer = Some((&allowed, answer.valid));
                self.dispatcher.note_advice(request, answer, sent, now);
            }
            Err(error) => {
                warn!(self.parts.logger, "advice request failed"; "step" => %request.step, "error" => %error);
                self.dispatcher.note_advice(request, None, sent, now);
            }
        }
    }
}
