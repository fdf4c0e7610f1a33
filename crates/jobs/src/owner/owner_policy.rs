use std::time::Duration;

use sesamedeal_core::jobs::ScalingPolicy;

/// Timing and limits of the owner.
#[derive(Debug, Clone)]
pub struct OwnerPolicy {
    /// Time without a renewal after which another entry instance takes the ownership.
    pub expiry: Duration,
    /// Interval between two renewals.
    pub renewal: Duration,
    /// Time after the last renewal during which known tasks still run. A successor waits this long,
    /// plus one task lease, for workers that it cannot reach.
    pub grace_period: Duration,
    /// Interval between two scheduling rounds.
    pub round_period: Duration,
    /// Minimum interval between two hold calls to a worker.
    pub min_hold_interval: Duration,
    /// Maximum time that a worker with tasks waits for the end of a run before it answers a hold
    /// call.
    pub hold_wait: Duration,
    /// Maximum wait of a hold call to a worker on which a long-running task is starting. Once the
    /// task has started, the next task of its step may be stopped.
    pub start_wait: Duration,
    /// Maximum wait of a hold call to an idle worker.
    pub idle_wait: Duration,
    /// Time beyond the wait within which a worker has to answer a hold call.
    pub hold_margin: Duration,
    /// Minimum interval between two writes of records.
    pub min_write_interval: Duration,
    /// Maximum number of concurrent orders to one worker.
    pub max_concurrent_orders: usize,
    /// Interval between two rounds of maintenance and pool scaling.
    pub wave_period: Duration,
    /// Interval between reads of the inventory while an instance is moving or under maintenance.
    pub inventory_period: Duration,
    /// Interval between reads of the inventory otherwise.
    pub idle_inventory_period: Duration,
    /// Scaling of the pools.
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
            min_write_interval: Duration::from_millis(40),
            max_concurrent_orders: 4,
            wave_period: Duration::from_millis(100),
            inventory_period: Duration::from_millis(500),
            idle_inventory_period: Duration::from_secs(2),
            scaling: ScalingPolicy::default(),
        }
    }
}
