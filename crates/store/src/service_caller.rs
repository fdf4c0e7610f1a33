use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, timeout_at};

use crate::backoff_delay::backoff_delay;
use crate::circuit_breaker::BreakerPermit;
use crate::error::{NoAnswerSnafu, PlatformError, Result, StatusSnafu, UnreachableSnafu};
use crate::transport::{CallTransport, PlatformCall, PlatformReply};
use crate::{
    CallKind, CircuitBreaker, PlatformCounters, PlatformService, PlatformSettings, RetryBudget,
    RetryReason,
};

/// Failure of one request, with the reason why it may be repeated.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) error: PlatformError,
    /// None if a repetition within the same call makes no sense.
    pub(crate) reason: Option<RetryReason>,
}

/// Sends requests under deadlines, the retry budget and the circuit breakers.
#[derive(Debug)]
pub(crate) struct ServiceCaller {
    transport: CallTransport,
    budget: Mutex<RetryBudget>,
    breakers: Mutex<[CircuitBreaker; 3]>,
    random: Mutex<Pcg64Mcg>,
    counters: Mutex<PlatformCounters>,
}

/// Reports a failure to the breaker when a caller drops its call before the answer.
struct PermitGuard<'a> {
    caller: &'a ServiceCaller,
    service: PlatformService,
    permit: Option<BreakerPermit>,
}

impl PermitGuard<'_> {
    fn report(&mut self, answered: bool) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let jitter = self.caller.jitter();
        let mut breakers = self.caller.breakers.lock();
        let breaker = &mut breakers[self.service as usize];
        if answered {
            breaker.succeed(permit);
        } else {
            breaker.fail(permit, Instant::now(), jitter);
        }
    }
}

impl Drop for PermitGuard<'_> {
    fn drop(&mut self) {
        self.report(false);
    }
}

impl ServiceCaller {
    pub(crate) fn new(settings: &PlatformSettings, transport: CallTransport) -> Self {
        Self {
            transport,
            budget: Mutex::new(RetryBudget::new(settings.retry_reserve)),
            breakers: Mutex::default(),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(settings.seed)),
            counters: Mutex::default(),
        }
    }

    pub(crate) fn counters(&self) -> PlatformCounters {
        let mut counters = self.counters.lock().clone();
        let breakers = self.breakers.lock();
        for service in PlatformService::ALL {
            let breaker = &breakers[service as usize];
            let entry = counters.breakers.entry(service).or_default();
            entry.state = breaker.state();
            entry.openings = breaker.openings();
        }
        counters
    }

    pub(crate) fn count(&self, update: impl FnOnce(&mut PlatformCounters)) {
        update(&mut self.counters.lock());
    }

    /// Counts a call of a user, which earns a part of a retry.
    pub(crate) fn begin(&self) {
        self.budget.lock().earn();
    }

    /// Sends a request whose repetition is harmless, again after failures, until the deadline.
    pub(crate) async fn call(
        &self,
        kind: CallKind,
        call: PlatformCall,
        deadline: Instant,
    ) -> Result<PlatformReply> {
        self.begin();
        let mut retry = 0;
        loop {
            let failure = match self.attempt(kind, call.clone(), deadline).await {
                Ok(reply) => return Ok(reply),
                Err(failure) => failure,
            };
            if !self.pause(failure.reason, retry, deadline).await {
                return Err(failure.error);
            }
            retry += 1;
        }
    }

    /// Sends one request. A status of 200 or 404 is an answer.
    pub(crate) async fn attempt(
        &self,
        kind: CallKind,
        call: PlatformCall,
        deadline: Instant,
    ) -> std::result::Result<PlatformReply, AttemptFailure> {
        if Instant::now() >= deadline {
            // Not sent, so that it says nothing about the service and has no effect.
            return Err(AttemptFailure {
                error: PlatformError::Unreachable {
                    reason: "the deadline passed before the call was sent".to_owned(),
                },
                reason: None,
            });
        }
        let service = kind.service();
        let permit = self.breakers.lock()[service as usize].admit(Instant::now());
        if permit.is_none() {
            self.count(|counters| counters.breakers.entry(service).or_default().refused += 1);
            return Err(AttemptFailure {
                error: PlatformError::Unreachable {
                    reason: format!("the circuit breaker of {} is open", service.label()),
                },
                reason: None,
            });
        }
        let mut guard = PermitGuard {
            caller: self,
            service,
            permit,
        };
        let sent = self.transport.size(&call) as u64;
        self.count(|counters| {
            *counters.calls.entry(kind).or_default() += 1;
            counters.bytes_sent += sent;
        });
        let answer = timeout_at(deadline, self.transport.send(call)).await;
        let result = classify(answer.unwrap_or_else(|_| {
            NoAnswerSnafu {
                reason: "the deadline passed",
            }
            .fail()
        }));
        guard.report(result.is_ok() || is_refusal(&result));
        match &result {
            Ok(reply) => {
                let received = reply.size as u64;
                self.count(|counters| counters.bytes_received += received);
            }
            Err(_) => self.count(|counters| *counters.failures.entry(kind).or_default() += 1),
        }
        result
    }

    /// Waits before a retry; false if there is none because of the reason, the deadline or the budget.
    pub(crate) async fn pause(
        &self,
        reason: Option<RetryReason>,
        retry: u32,
        deadline: Instant,
    ) -> bool {
        let Some(reason) = reason else {
            return false;
        };
        let delay = backoff_delay(retry, self.jitter());
        if Instant::now() + delay >= deadline {
            return false;
        }
        if !self.budget.lock().spend() {
            self.count(|counters| counters.budget_exhausted += 1);
            return false;
        }
        self.count(|counters| *counters.retries.entry(reason).or_default() += 1);
        sleep(delay).await;
        true
    }

    fn jitter(&self) -> f64 {
        self.random.lock().random()
    }
}

/// A refusal such as status 400 or 429 shows that the service works.
const fn is_refusal(result: &std::result::Result<PlatformReply, AttemptFailure>) -> bool {
    matches!(
        result,
        Err(AttemptFailure {
            error: PlatformError::Status { .. },
            ..
        })
    )
}

fn classify(answer: Result<PlatformReply>) -> std::result::Result<PlatformReply, AttemptFailure> {
    let (result, reason) = match answer {
        Ok(reply) => match reply.status {
            200 | 404 => return Ok(reply),
            429 => (
                StatusSnafu { status: 429_u16 }.fail(),
                Some(RetryReason::RateLimited),
            ),
            503 => (
                UnreachableSnafu {
                    reason: "the service is unavailable",
                }
                .fail(),
                Some(RetryReason::Unreachable),
            ),
            status if status >= 500 => (
                NoAnswerSnafu {
                    reason: format!("status {status}"),
                }
                .fail(),
                Some(RetryReason::NoAnswer),
            ),
            status => (StatusSnafu { status }.fail(), None),
        },
        Err(error @ PlatformError::Unreachable { .. }) => {
            (Err(error), Some(RetryReason::Unreachable))
        }
        Err(error) => (Err(error), Some(RetryReason::NoAnswer)),
    };
    result.map_err(|error| AttemptFailure { error, reason })
}
