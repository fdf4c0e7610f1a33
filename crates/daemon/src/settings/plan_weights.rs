/// Weights of the plan's measures. They have no unit; only their ratios matter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanWeights {
    /// Weight of one move of an instance between pools.
    pub moves: f64,
    /// Weight of the time until a sheet is in force.
    pub rollout: f64,
    /// Weight of an instance-hour in the spare pool or out of service.
    pub buffer: f64,
    /// Weight of the distance between each team's usage and its share.
    pub fairness: f64,
}
