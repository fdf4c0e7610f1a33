use std::time::Duration;

/// Times and shares of the sizing.
#[derive(Debug, Clone)]
pub struct SizingPolicy {
    /// Room beyond what is in use and waits, as a share of it.
    pub headroom: f64,
    /// Time for which a peak is remembered.
    pub peak_memory: Duration,
    /// Fewest instances of a pool that is not a spare pool.
    pub least_instances: usize,
    /// Share of its capacity above which a pool counts as surging.
    pub surge_share: f64,
    /// Time from the order to move an instance until it is in its new pool.
    pub move_time: Duration,
    /// Pools that keep their size because their turn may be next.
    pub kept_pools: usize,
}

impl Default for SizingPolicy {
    fn default() -> Self {
        Self {
            headroom: 0.25,
            peak_memory: Duration::from_millis(2_000),
            least_instances: 3,
            surge_share: 0.6,
            move_time: Duration::from_millis(1_500),
            kept_pools: 1,
        }
    }
}
