use std::time::Duration;

/// Times and shares of the sizing.
#[derive(Debug, Clone)]
pub struct ScalingPolicy {
    /// Room beyond what is in use and waits, as a share of it.
    pub headroom: f64,
    /// Time for which a peak is remembered.
    pub peak_window: Duration,
    /// Fewest instances of a pool that is not a spare pool.
    pub min_instances: usize,
    /// Share of what an even part of all instances holds, above which what comes in a second, or
    /// waits, is a surge.
    pub surge_share: f64,
    /// Share of a surge's largest arrivals below which the surge fades: it keeps what it uses.
    pub fade_share: f64,
    /// Share of a surge's largest arrivals below which the surge has ended.
    pub end_share: f64,
    /// Time from the order to move an instance until it is in its new pool.
    pub move_time: Duration,
    /// Pools that keep their size because their turn may be next.
    pub warm_pools: usize,
    /// Time before a surge is due, beyond that of a move, from which instances are on their way.
    pub due_margin: Duration,
    /// Time that has to remain until the next surge for an instance to be switched off: twice the
    /// time of a move.
    pub min_off_time: Duration,
    /// Time for which a surge that is due is waited for.
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
