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
    /// How long an instance of a pool runs nothing, while nothing waits there, before a pool that
    /// lacks instances gets it even if more work is expected. A forecast of this time was wrong by as
    /// much.
    pub idle_time: Duration,
    /// How long instances stay without work before they are switched off. Switching an instance
    /// off and on again costs about as much.
    pub off_wait: Duration,
    /// Minimum number of instances of a pool, except the spare pool.
    pub min_instances: usize,
    /// Fraction of the capacity of an equal share of all instances. A pool has a surge while its
    /// batch work is expected to use more.
    pub surge_share: f64,
    /// Fraction of the instances of a usual surge that a pool holds in reserve if it is likely to
    /// surge next. They serve the surge until more instances have moved to the pool.
    pub reserve_share: f64,
    /// Fraction of an equal share of all instances that each pool holds in reserve until the first
    /// surge has ended, as the size of surges is not known before that.
    pub first_reserve_share: f64,
    /// Multiple of an equal share of all instances that a pool gets as soon as its surge starts, as
    /// long as no surge has ended.
    pub first_onset_share: f64,
    /// Fraction of the instances of a usual surge that a pool gets as soon as its surge starts.
    pub onset_share: f64,
    /// Time from the start of a surge after which the pool gets only the instances that its demand
    /// needs, since a usual surge would have shown by then.
    pub onset_time: Duration,
    /// Time from the order to move an instance until it joins its new pool.
    pub move_time: Duration,
}

impl Default for ScalingPolicy {
    fn default() -> Self {
        Self {
            headroom: 0.12,
            keep_time: Duration::from_millis(600),
            idle_time: Duration::from_millis(1_000),
            off_wait: Duration::from_millis(3_000),
            min_instances: 3,
            surge_share: 0.6,
            reserve_share: 0.4,
            first_reserve_share: 0.5,
            first_onset_share: 1.0,
            onset_share: 0.9,
            onset_time: Duration::from_millis(2_000),
            move_time: Duration::from_millis(1_500),
        }
    }
}
