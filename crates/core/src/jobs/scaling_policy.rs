use std::time::Duration;

/// Time limits and thresholds of pool scaling.
#[derive(Debug, Clone)]
pub struct ScalingPolicy {
    /// Extra capacity beyond the demand, as a fraction of the demand.
    pub headroom: f64,
    /// Window over which the peak demand determines the size of a pool.
    pub peak_window: Duration,
    /// Minimum number of instances of a pool, except the spare pool.
    pub min_instances: usize,
    /// Fraction of the capacity of an equal share of all instances. A pool has a surge when the
    /// work that arrives in a second, or the waiting tasks, exceed it.
    pub surge_share: f64,
    /// Fraction of a surge's peak arrival rate below which the surge fades and the pool shrinks to
    /// what it uses.
    pub fade_share: f64,
    /// Fraction of a surge's peak arrival rate below which the surge ends.
    pub end_share: f64,
    /// Time from the order to move an instance until it joins its new pool.
    pub move_time: Duration,
    /// Minimum number of pools that hold instances in reserve because they may surge next.
    pub warm_pools: usize,
    /// Safety margin added to `move_time`: instances start to move this much earlier than necessary
    /// before a surge is due.
    pub due_margin: Duration,
    /// Minimum time until the next surge for an instance to be switched off. Switching it off and
    /// on again takes as long as two moves.
    pub min_off_time: Duration,
    /// How long to hold the reserve for a surge that is overdue.
    pub overdue_wait: Duration,
}

impl Default for ScalingPolicy {
    fn default() -> Self {
        Self {
            headroom: 0.25,
            peak_window: Duration::from_millis(2_000),
            min_instances: 3,
            surge_share: 0.6,
            fade_share: 0.6,
            end_share: 0.25,
            move_time: Duration::from_millis(1_500),
            warm_pools: 1,
            due_margin: Duration::from_millis(700),
            min_off_time: Duration::from_secs(3),
            overdue_wait: Duration::from_secs(3),
        }
    }
}
