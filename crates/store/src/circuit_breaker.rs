use tokio::time::Instant;

use crate::backoff_delay::backoff_delay;

/// Consecutive failures after which the breaker opens.
const FAILURE_THRESHOLD: u32 = 5;

/// State of a circuit breaker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BreakerState {
    /// Calls pass.
    #[default]
    Closed,
    /// Calls fail at once.
    Open,
    /// One probe is under way; other calls fail at once.
    HalfOpen,
}

/// Permission for one call. Its result is reported with the same permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BreakerPermit {
    probe: bool,
}

/// Stops calls to a service that fails, and tries it again with single probes.
#[derive(Debug, Default)]
pub struct CircuitBreaker {
    state: BreakerState,
    failures: u32,
    failed_probes: u32,
    openings: u64,
    probe_at: Option<Instant>,
}

impl CircuitBreaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The current state.
    #[must_use]
    pub const fn state(&self) -> BreakerState {
        self.state
    }

    /// How often the breaker has opened.
    #[must_use]
    pub const fn openings(&self) -> u64 {
        self.openings
    }

    /// Admits a call; none if it must fail at once.
    pub fn admit(&mut self, now: Instant) -> Option<BreakerPermit> {
        match self.state {
            BreakerState::Closed => Some(BreakerPermit { probe: false }),
            BreakerState::Open if self.probe_at.is_some_and(|at| at <= now) => {
                self.state = BreakerState::HalfOpen;
                Some(BreakerPermit { probe: true })
            }
            BreakerState::Open | BreakerState::HalfOpen => None,
        }
    }

    /// Reports that the service answered.
    pub const fn succeed(&mut self, permit: BreakerPermit) {
        // A call from before the opening says nothing about the service's present state.
        if permit.probe || matches!(self.state, BreakerState::Closed) {
            self.state = BreakerState::Closed;
            self.failures = 0;
            self.failed_probes = 0;
            self.probe_at = None;
        }
    }

    /// Reports that the service failed or that the call was given up. `jitter` lies in 0..1.
    pub fn fail(&mut self, permit: BreakerPermit, now: Instant, jitter: f64) {
        if permit.probe {
            self.failed_probes = self.failed_probes.saturating_add(1);
        } else if self.state == BreakerState::Closed {
            self.failures += 1;
            if self.failures < FAILURE_THRESHOLD {
                return;
            }
            self.openings += 1;
        } else {
            return;
        }
        self.state = BreakerState::Open;
        self.probe_at = Some(now + backoff_delay(self.failed_probes, jitter));
    }
}
