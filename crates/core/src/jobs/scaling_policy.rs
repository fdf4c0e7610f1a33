use std::time::Duration;

/// Time limits and thresholds of pool scaling.
#[derive(Debug, Clone)]
pub struct ScalingPolicy {
    /// Extra capacity beyond the demand, as a fraction of the demand, since tasks do not fill an
    /// instance exactly.
    pub headroom: f64,
    /// How long a pool keeps the instances that its recent peak demand needed, unless another pool
    /// lacks them.
    pub keep_time: Duration,
    /// How long instances stay without work before they are switched off. Switching an instance
    /// off and on again costs about as much.
    pub off_wait: Duration,
    /// Minimum number of instances of a pool, except the spare pool.
    pub min_instances: usize,
    /// Fraction of the capacity of an equal share of all instances. A pool has a surge while its
    /// batch work is expected to use more.
    pub surge_share: f64,
    /// Fraction of the instances of the largest surge that the next pool holds when it is due.
    pub reserve_share: f64,
    /// How long before a surge is due the reserve is built, and how long it is kept after that.
    pub reserve_time: (Duration, Duration),
    /// Time from the order to move an instance until it joins its new pool.
    pub move_time: Duration,
}

impl Default for ScalingPolicy {
    fn default() -> Self {
        Self {
            headroom: 0.12,
            keep_time: Duration::from_millis(600),
            off_wait: Duration::from_millis(3_000),
            min_instances: 3,
            surge_share: 0.6,
            reserve_share: 0.3,
            reserve_time: (Duration::from_millis(2_200), Duration::from_millis(1_500)),
            move_time: Duration::from_millis(1_500),
        }
    }
}
