use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};
use sesamedeal_core::code::ResultCode;
use sesamedeal_core::scheduler::{DispatchOrder, FinishOutcome, JobRefusal, JobSpec};
use sesamedeal_wire::header;
use slotmap::Key;
use tokio::sync::oneshot;
use xtra::Address;

use super::backend_call::{BackendClient, BackendRequest};
use super::dispatch_actor::DispatchActor;
use super::dispatch_messages::{FinishAttempt, JobEvent, SubmitJob};
use super::job_guard::JobGuard;
use crate::clock::{ProcessClock, unix_millis};

/// A backend server's whole answer.
#[derive(Debug)]
pub(crate) struct JobAnswer {
    pub status: StatusCode,
    pub body: Bytes,
}

/// Takes a job from its queue to a backend server and back.
#[derive(Debug, Clone)]
pub(crate) struct JobRunner {
    pub dispatcher: Address<DispatchActor>,
    pub backend: BackendClient,
    pub clock: ProcessClock,
}

impl JobRunner {
    /// Runs a job to its final answer.
    pub(crate) async fn run(&self, spec: JobSpec, body: Bytes) -> Result<JobAnswer, JobRefusal> {
        let (events, mut next) = oneshot::channel();
        let submit = SubmitJob {
            spec: spec.clone(),
            events,
        };
        let job = self
            .dispatcher
            .send(submit)
            .await
            .map_err(|_error| ended())??;
        let mut guard = JobGuard::new(&self.dispatcher, job);
        loop {
            let order = match next.await {
                Ok(JobEvent::Dispatch(order)) => order,
                Ok(JobEvent::Refuse(refusal)) => {
                    guard.disarm();
                    return Err(refusal);
                }
                Err(_) => return Err(ended()),
            };
            let request = backend_request(&spec, &order, body.clone());
            let wait = spec.deadline.since(self.clock.now());
            let (outcome, answer) = self.backend.run(&order, &request, wait).await;
            let (events, receiver) = oneshot::channel();
            next = receiver;
            let finish = FinishAttempt {
                job,
                attempt: order.attempt,
                outcome,
                events,
            };
            match self
                .dispatcher
                .send(finish)
                .await
                .map_err(|_error| ended())?
            {
                FinishOutcome::Answer => {
                    guard.disarm();
                    return answer.ok_or(JobRefusal::new(ResultCode::BadAnswer));
                }
                FinishOutcome::Retry => {}
                FinishOutcome::Refuse(refusal) => {
                    guard.disarm();
                    return Err(refusal);
                }
            }
        }
    }
}

const fn ended() -> JobRefusal {
    JobRefusal::new(ResultCode::ShuttingDown)
}

fn backend_request(spec: &JobSpec, order: &DispatchOrder, body: Bytes) -> BackendRequest {
    let lease_ms = order.lease.as_millis().to_string();
    let start_by = unix_millis() + START_ALLOWANCE_MS;
    let attempt = format!("{:016x}", order.attempt.data().as_ffi());
    let fields = [
        (header::REQUEST_ID, spec.request.as_str().to_owned()),
        (header::ATTEMPT, attempt),
        (header::POOL, spec.pool.as_str().to_owned()),
        (header::TEAM, spec.team.as_str().to_owned()),
        (header::START_BY_MS, start_by.to_string()),
        (header::LEASE_MS, lease_ms),
    ];
    let mut headers = HeaderMap::new();
    for (name, value) in fields {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    BackendRequest { headers, body }
}

/// Time after dispatch within which a backend server may start the attempt, in milliseconds.
const START_ALLOWANCE_MS: u64 = 2_000;
