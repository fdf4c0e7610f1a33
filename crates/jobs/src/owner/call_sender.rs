use sesamedeal_core::jobs::{StartOutcome, WorkerKey};
use sesamedeal_store::PlatformError;
use slog::{Logger, debug, info, warn};
use tokio::sync::Semaphore;
use tokio::time::error::Elapsed;
use tokio::time::timeout;
use xtra::Address;

use std::sync::Arc;
use std::time::Duration;

use super::OwnerEvent;
use super::owner_actor::OwnerActor;
use crate::BootClock;
use crate::ports::{HoldRequest, PaceRequest, StartRequest, StopRequest, WorkerPort};

/// Sends calls to workers and reports their answers to the owner.
#[derive(Debug, Clone)]
pub(crate) struct CallSender {
    pub workers: WorkerPort,
    pub owner: Address<OwnerActor>,
    pub order_timeout: Duration,
    pub logger: Logger,
}

impl CallSender {
    pub(crate) fn hold(&self, key: WorkerKey, request: HoldRequest, limit: Duration) {
        let sender = self.clone();
        tokio::spawn(async move {
            let sent = BootClock.now();
            let fence = request.fence;
            let answer = timeout(limit, (sender.workers.hold)(request)).await;
            let outcome = answer.unwrap_or_else(|_elapsed| Err(timeout_error()));
            let event = OwnerEvent::Held {
                key,
                fence,
                sent,
                outcome,
            };
            sender.report(event).await;
        });
    }

    pub(crate) fn start(&self, key: WorkerKey, semaphore: Arc<Semaphore>, request: StartRequest) {
        let sender = self.clone();
        tokio::spawn(async move {
            let (task, run) = (request.order.task, request.order.run);
            let worker = request.worker.name.clone();
            let fence = request.fence;
            let call = || (sender.workers.start)(request);
            let outcome = match sender.with_permit(&semaphore, call).await {
                Ok(Ok(outcome)) => outcome,
                Ok(Err(PlatformError::NoAnswer { .. })) | Err(_) => StartOutcome::Unknown,
                Ok(Err(error)) => {
                    debug!(sender.logger, "could not reach the worker"; "worker" => %worker, "error" => %error);
                    StartOutcome::Unavailable
                }
            };
            if outcome == StartOutcome::Started {
                info!(sender.logger, "start"; "task" => %task, "run" => run, "worker" => %worker, "fence" => fence, "outcome" => ?outcome);
            } else {
                warn!(sender.logger, "start"; "task" => %task, "run" => run, "worker" => %worker, "fence" => fence, "outcome" => ?outcome);
            }
            let event = OwnerEvent::Started {
                key,
                fence,
                task,
                run,
                outcome,
            };
            sender.report(event).await;
        });
    }

    pub(crate) fn stop(&self, key: WorkerKey, semaphore: Arc<Semaphore>, request: StopRequest) {
        let sender = self.clone();
        tokio::spawn(async move {
            let (task, run, fence) = (request.task, request.run, request.fence);
            let worker = request.worker.name.clone();
            let call = || (sender.workers.stop)(request);
            let answer = sender.with_permit(&semaphore, call).await;
            info!(sender.logger, "stop"; "task" => %task, "run" => run, "worker" => %worker, "answer" => ?answer);
            if let Ok(Ok(accepted)) = answer {
                let event = OwnerEvent::Stopped {
                    key,
                    fence,
                    task,
                    run,
                    accepted,
                };
                sender.report(event).await;
            }
        });
    }

    pub(crate) fn pace(&self, semaphore: Arc<Semaphore>, request: PaceRequest) {
        let sender = self.clone();
        tokio::spawn(async move {
            let (task, run, percent) = (request.run.task, request.run.run, request.percent);
            let call = || (sender.workers.pace)(request);
            let answer = sender.with_permit(&semaphore, call).await;
            info!(sender.logger, "pace"; "task" => %task, "run" => run, "percent" => percent, "answer" => ?answer);
        });
    }

    /// Makes a call once a permit of `semaphore` is free. The time-out includes the wait for the
    /// permit.
    async fn with_permit<F: Future>(
        &self,
        semaphore: &Semaphore,
        call: impl FnOnce() -> F,
    ) -> Result<F::Output, Elapsed> {
        let call = async {
            let _permit = semaphore.acquire().await;
            call().await
        };
        timeout(self.order_timeout, call).await
    }

    async fn report(&self, event: OwnerEvent) {
        // The owner's mailbox is closed once the ownership is lost; the answer is not needed then.
        drop(self.owner.send(event).await);
    }
}

pub(crate) fn timeout_error() -> PlatformError {
    PlatformError::NoAnswer {
        reason: "the deadline passed".to_owned(),
    }
}
