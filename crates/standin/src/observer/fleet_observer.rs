use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use super::observer_state::ObserverState;
use super::{FleetEvent, ViolationCounts};

/// Counts violations of the invariants. Clones share the counts.
///
/// It uses only what the stand-ins see and what the test or demonstration announces, and none of
/// the decision library.
#[derive(Debug, Clone, Default)]
pub struct FleetObserver {
    state: Arc<Mutex<ObserverState>>,
}

impl FleetObserver {
    /// Creates an observer that knows no limits yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an event at the present time.
    pub fn record(&self, event: FleetEvent) {
        self.state.lock().record(event, Instant::now());
    }

    /// Announces a team's upper limit, which must hold from `delay` on.
    pub fn set_team_limit(&self, team: &str, limit: u32, delay: Duration) {
        self.record(FleetEvent::TeamLimit {
            team: team.into(),
            limit,
            in_ms: delay.as_millis() as u64,
        });
    }

    /// Announces that a key was withdrawn now.
    pub fn withdraw_key(&self, key: &str) {
        let key = key.into();
        self.record(FleetEvent::KeyWithdrawn { key });
    }

    /// Announces that all keys of a team were withdrawn now.
    pub fn withdraw_team(&self, team: &str) {
        let team = team.into();
        self.record(FleetEvent::TeamWithdrawn { team });
    }

    /// Announces a pool's availability budget.
    pub fn set_pool_budget(&self, pool: &str, budget: u32) {
        let pool = pool.into();
        self.record(FleetEvent::PoolBudget { pool, budget });
    }

    /// Violations seen so far.
    #[must_use]
    pub fn violations(&self) -> ViolationCounts {
        self.state.lock().violations(Instant::now())
    }

    /// Tasks started so far.
    #[must_use]
    pub fn started(&self) -> u64 {
        self.state.lock().started()
    }

    /// Tasks of a team that are running at present.
    #[must_use]
    pub fn team_running(&self, team: &str) -> u32 {
        self.state.lock().team_running(team)
    }
}
