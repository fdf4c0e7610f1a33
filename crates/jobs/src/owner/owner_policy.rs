use std::time::Duration;

use sesamedeal_core::jobs::ScalingPolicy;

/// Times of the owner.
#[derive(Debug, Clone)]
pub struct OwnerPolicy {
    /// Time without a renewal after which another entry instance takes the ownership.
    pub expiry: Duration,
    /// Time between two renewals.
    pub renewal: Duration,
    /// Time after the last renewal up to which tasks that are known are still run. A successor
    /// waits this long, and a task lease more, for workers that it cannot reach.
    pub grace_period: Duration,
    /// Time between two rounds of decisions.
    pub round_period: Duration,
    /// Least time between two calls for the lists of a worker.
    pub min_hold_interval: Duration,
    /// Longest time that a worker with tasks waits for an end before it answers.
    pub hold_wait: Duration,
    /// Longest time that a worker waits on which a lasting task starts up. When it is at work, the
    /// next task of its step may be taken out.
    pub start_wait: Duration,
    /// Longest time that an idle worker waits.
    pub idle_wait: Duration,
    /// Time beyond the wait within which a worker has to answer.
    pub hold_margin: Duration,
    /// Time within which a worker answers an order.
    pub order_timeout: Duration,
    /// Least time between two writes of records.
    pub min_write_interval: Duration,
    /// Calls of orders to one worker at the same time.
    pub max_concurrent_orders: usize,
    /// Time between two looks at maintenance.
    pub wave_period: Duration,
    /// Time between two readings of the inventory while an instance is out or moves.
    pub inventory_period: Duration,
    /// Time between two readings of the inventory otherwise.
    pub idle_inventory_period: Duration,
    /// How pools are sized.
    pub scaling: ScalingPolicy,
}

impl Default for OwnerPolicy {
    fn default() -> Self {
        Self {
            expiry: Duration::from_millis(2_000),
            renewal: Duration::from_millis(500),
            grace_period: Duration::from_secs(6),
            round_period: Duration::from_millis(25),
            min_hold_interval: Duration::from_millis(100),
            hold_wait: Duration::from_millis(800),
            start_wait: Duration::from_millis(200),
            idle_wait: Duration::from_millis(1_900),
            hold_margin: Duration::from_millis(900),
            order_timeout: Duration::from_millis(900),
            min_write_interval: Duration::from_millis(40),
            max_concurrent_orders: 4,
            wave_period: Duration::from_millis(100),
            inventory_period: Duration::from_millis(500),
            idle_inventory_period: Duration::from_secs(2),
            scaling: ScalingPolicy::default(),
        }
    }
}
