use serde::{Deserialize, Serialize};
use sesamedeal_core::fleet::DayTime;
use sesamedeal_core::moves::PlanPolicy;

/// Answer to `GET /admin/plan-context`: what a plan needs besides the state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlanContext {
    /// Local date and time of day at the entry instance.
    pub now: DayTime,
    /// Weights of the plan from its settings.
    pub policy: PlanPolicy,
}
