use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use sesamedeal_core::code::{ResultCode, RunState};
use sesamedeal_core::scheduler::{AttemptOutcome, JobKey, JobRefusal, JobSpec};
use sesamedeal_core::time::TimePoint;
use sesamedeal_wire::header;
use slog::debug;
use tokio::time::{Instant, sleep, timeout_at};

use super::dispatch_messages::{DispatchTicket, FinishAttempt, FinishReply, JobEvent, NextEvent};
use super::job_body::{OpenAttempt, StreamedBody};
use super::job_guard::JobGuard;
use super::{DispatchDesk, DispatchParts, JobAnswer, JobBody, ShutdownSignal};
use crate::backend::{AnswerBytes, AttemptCall, AttemptId, AttemptResult, BackendAnswer};

/// Time past a job's deadline after which its caller is answered even if the dispatcher, which
/// checks deadlines, is not allowed to act.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Time between two looks whether a shutdown ends the jobs that remain.
const CLOSE_LOOK: Duration = Duration::from_millis(100);

/// A job with everything that is sent to the backend server.
#[derive(Debug)]
pub(crate) struct JobInput {
    pub spec: JobSpec,
    /// Value of the request id header.
    pub request: HeaderValue,
    /// Headers of the caller that are passed on.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Largest answer that is read into memory before it is passed on, in bytes.
    pub inline_bytes: usize,
    /// Set before the job is first sent to a backend server.
    pub sent: Arc<AtomicBool>,
}

/// Takes a job from its queue to a backend server and back.
#[derive(Debug, Clone)]
pub(crate) struct JobRunner {
    pub desk: DispatchDesk,
    pub parts: DispatchParts,
    pub shutdown: ShutdownSignal,
}

/// What is known of the attempts of a job so far.
#[derive(Debug, Default)]
struct JobHistory {
    may_have_run: bool,
    failed: Option<BackendAnswer>,
}

impl JobHistory {
    /// Makes sure that a refusal does not deny an attempt that may have run the job.
    fn final_answer(self, refusal: JobRefusal) -> Result<JobAnswer, JobRefusal> {
        if refusal.code.run_state() != RunState::NotRun {
            return Err(refusal);
        }
        match self.failed {
            Some(answer) => Ok(JobAnswer {
                status: answer.status,
                headers: answer.headers,
                body: match answer.body {
                    AnswerBytes::Whole(bytes) => JobBody::Whole(bytes),
                    AnswerBytes::Stream(_) => return Err(refusal_unknown(refusal)),
                },
            }),
            None if self.may_have_run => Err(refusal_unknown(refusal)),
            None => Err(refusal),
        }
    }
}

const fn refusal_unknown(refusal: JobRefusal) -> JobRefusal {
    JobRefusal {
        code: ResultCode::OutcomeUnknown,
        ..refusal
    }
}

impl JobRunner {
    /// Current time on the clock of the process.
    pub(crate) fn now(&self) -> TimePoint {
        self.parts.clock.now()
    }

    /// Runs a job to its final answer. Dropping the future cancels the job.
    pub(crate) async fn run(&self, input: &JobInput) -> Result<JobAnswer, JobRefusal> {
        let begin = Instant::now();
        let spec = input.spec.clone();
        let deadline = begin + spec.deadline.since(self.now());
        let (job, mut next) = self.desk.submit(spec)?;
        let mut guard = JobGuard::new(self.parts.cancels.clone(), job);
        let mut history = JobHistory::default();
        let mut is_first = true;
        loop {
            let ticket = match self.event(next, deadline).await {
                Ok(JobEvent::Dispatch(ticket)) => ticket,
                Ok(JobEvent::Refuse(refusal)) => {
                    guard.disarm();
                    return history.final_answer(refusal);
                }
                // The guard removes the job from its queue.
                Err(refusal) => return history.final_answer(refusal),
            };
            if is_first {
                self.parts.metrics.observe_queue(begin.elapsed());
                is_first = false;
            }
            let result = self.attempt(input, &ticket, deadline).await;
            let outcome = result.outcome;
            if let Some(answer) = result.answer {
                match answer.body {
                    AnswerBytes::Stream(stream) => {
                        let open = self.open_attempt(guard, job, &ticket, outcome);
                        return Ok(JobAnswer {
                            status: answer.status,
                            headers: answer.headers,
                            body: JobBody::Stream(Box::new(StreamedBody {
                                stream: *stream,
                                open: Some(open),
                            })),
                        });
                    }
                    AnswerBytes::Whole(bytes) if outcome == AttemptOutcome::Answered => {
                        guard.disarm();
                        self.finish(job, &ticket, outcome);
                        return Ok(JobAnswer {
                            status: answer.status,
                            headers: answer.headers,
                            body: JobBody::Whole(bytes),
                        });
                    }
                    body => history.failed = Some(BackendAnswer { body, ..answer }),
                }
            }
            history.may_have_run |=
                matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::BadAnswer);
            match self.finish(job, &ticket, outcome) {
                FinishReply::Retry(event) => next = event,
                FinishReply::Answer => {
                    guard.disarm();
                    return history.final_answer(JobRefusal::new(ResultCode::NoWorker));
                }
                FinishReply::Refuse(refusal) => {
                    guard.disarm();
                    return history.final_answer(refusal);
                }
            }
        }
    }

    /// Waits for the event of a queued job.
    async fn event(&self, next: NextEvent, deadline: Instant) -> Result<JobEvent, JobRefusal> {
        let receiver = match next {
            NextEvent::Now(event) => return Ok(event),
            NextEvent::Later(receiver) => receiver,
        };
        tokio::select! {
            biased;
            event = receiver => event.map_err(|_error| shutting_down()),
            () = self.shutdown.closing() => Err(shutting_down()),
            () = sleep((deadline + DEADLINE_GRACE).saturating_duration_since(Instant::now())) => {
                Err(JobRefusal::new(ResultCode::DeadlinePassed))
            }
        }
    }

    /// Runs one attempt.
    async fn attempt(
        &self,
        input: &JobInput,
        ticket: &DispatchTicket,
        deadline: Instant,
    ) -> AttemptResult {
        let now = Instant::now();
        if now > ticket.send_by {
            // The process was paused between the decision and this point.
            return AttemptResult {
                outcome: AttemptOutcome::NotSent,
                answer: None,
            };
        }
        let wait = deadline.min(ticket.ends_by).saturating_duration_since(now);
        let call = self.call(input, ticket);
        input.sent.store(true, Ordering::Release);
        let result = self.run_until(call, now + wait).await;
        self.parts.metrics.observe_backend(now.elapsed());
        debug!(self.parts.logger, "attempt ended";
            "request" => input.spec.request.as_str(),
            "worker" => ticket.order.worker.as_str(),
            "outcome" => ?result.outcome);
        result
    }

    /// Waits for an attempt until a point, or until a shutdown ends the jobs that remain. The
    /// shutdown is looked for in intervals, because most attempts end before the first look and
    /// need not register for it.
    async fn run_until(&self, call: AttemptCall, until: Instant) -> AttemptResult {
        let mut run = pin!(self.parts.backend.run(call));
        loop {
            let look = until.min(Instant::now() + CLOSE_LOOK);
            if let Ok(result) = timeout_at(look, run.as_mut()).await {
                return result;
            }
            if look >= until || self.shutdown.is_closing() {
                return AttemptResult {
                    outcome: AttemptOutcome::Lost,
                    answer: None,
                };
            }
        }
    }

    fn call(&self, input: &JobInput, ticket: &DispatchTicket) -> AttemptCall {
        let spec = &input.spec;
        let attempt = AttemptId::new(self.parts.session, ticket.order.attempt);
        let attempt = value(&attempt.to_string());
        let lease_ms = ticket.run_limit.as_millis();
        let mut headers = input.headers.clone();
        headers.insert(HOST, value(&ticket.order.address));
        headers.insert(header::REQUEST_ID, input.request.clone());
        headers.insert(header::ATTEMPT, attempt.clone());
        headers.insert(header::POOL, value(spec.pool.as_str()));
        headers.insert(header::TEAM, value(spec.team.as_str()));
        headers.insert(header::START_BY_MS, HeaderValue::from(ticket.start_by_ms));
        headers.insert(header::LEASE_MS, value(&lease_ms.to_string()));
        AttemptCall {
            address: ticket.order.address.clone(),
            request: input.request.clone(),
            attempt,
            headers,
            body: input.body.clone(),
            inline_bytes: input.inline_bytes,
        }
    }

    fn finish(&self, job: JobKey, ticket: &DispatchTicket, outcome: AttemptOutcome) -> FinishReply {
        self.desk.finish(&FinishAttempt {
            job,
            attempt: ticket.order.attempt,
            outcome,
            may_retry: true,
        })
    }

    fn open_attempt(
        &self,
        guard: JobGuard,
        job: JobKey,
        ticket: &DispatchTicket,
        outcome: AttemptOutcome,
    ) -> OpenAttempt {
        OpenAttempt {
            guard,
            desk: self.desk.clone(),
            job,
            attempt: ticket.order.attempt,
            outcome,
            metrics: self.parts.metrics.clone(),
            logger: self.parts.logger.clone(),
        }
    }
}

const fn shutting_down() -> JobRefusal {
    JobRefusal::new(ResultCode::ShuttingDown)
}

/// Header value of a name or number. Names that were validated contain no control characters.
fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static("invalid"))
}
