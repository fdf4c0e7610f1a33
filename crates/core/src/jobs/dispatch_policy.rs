use std::time::Duration;

/// Timeouts and thresholds of the dispatcher.
#[derive(Debug, Clone)]
pub struct DispatchPolicy {
    /// Lease duration requested in each hold call to a worker.
    pub lease: Duration,
    /// Longest lease that a worker grants. An owner that cannot renew its ownership requests it so
    /// that tasks keep running during the takeover.
    pub max_lease: Duration,
    /// Maximum fraction by which a worker's clock runs slow.
    pub max_clock_drift: f64,
    /// Time within which a worker carries out a call on its way, and has to answer an order. Connections
    /// open within 0.8 s.
    pub call_time: Duration,
    /// Longest time after which a worker carries out a call that had no answer.
    pub max_call_delay: Duration,
    /// Time after which a stop order is resent if the worker has not listed the end of the run.
    pub stop_repeat: Duration,
    /// Initial quarantine of a worker that was unavailable for a start, stalled a task or failed
    /// several tasks.
    pub quarantine_time: Duration,
    /// Number of distinct jobs that fail in a row on a worker before it is quarantined.
    pub failure_limit: u32,
    /// Delay before a long-running task is restarted after its run failed or disappeared, so that
    /// it does not fail in a tight loop.
    pub restart_pause: Duration,
    /// Multiple of `stall_floor` that a long-running task may take to start up before it is moved.
    pub stall_factor: f64,
    /// Minimum time without progress before a task is moved.
    pub stall_floor: Duration,
    /// How long before its due time a scheduled occurrence may start; 0 means never early.
    pub early_start: Duration,
    /// Time after a takeover during which no task with a disruption budget is stopped. A stop sent
    /// by the previous owner takes up to 0.9 s to take effect, and until then the worker still
    /// lists the task as running.
    pub takeover_pause: Duration,
    /// Maximum age of a worker's list of runs for its tasks to count as running. A worker with
    /// tasks answers at least every 0.9 s.
    pub max_list_age: Duration,
    /// Maximum age of the list of workers for a start to rely on a capacity. A smaller capacity
    /// counts 4.5 s after the change; the worker writes it within 1.5 s, and a start order takes up
    /// to 0.9 s. Also the time for which an entry of an earlier start of a worker is relied on.
    pub max_capacity_age: Duration,
    /// Longest interval at which a worker writes its entry, and the time that the list takes to show
    /// it.
    pub entry_interval: Duration,
    /// Minimum interval between two pace orders for the same task.
    pub min_pace_interval: Duration,
    /// How far ahead the demand of a pool is forecast: the time from a decision to move an instance
    /// until it runs tasks in its new pool.
    pub forecast_horizon: Duration,
    /// How long the record of an ended job remains available to callers.
    pub ended_retention: Duration,
    /// Multiple of the run time of a task off the rack that holds its data, and of a gang that
    /// prefers one rack and is not on one. At 1 or below, no task waits for a rack.
    pub spread_factor: f64,
    /// Whether jobs are deferred while demand exceeds capacity, so that the others end in time.
    pub defers_overload: bool,
    /// Whether entry instances reject jobs that cannot end while their result is of use. Needs
    /// `defers_overload`.
    pub rejects_overload: bool,
}

impl DispatchPolicy {
    /// Longest time for which a lease lasts that ends `lease` from now on a worker's clock, if that
    /// clock was read `clock_age` ago.
    pub(crate) fn longest_lease(&self, lease: Duration, clock_age: Duration) -> Duration {
        let lag = clock_age.mul_f64(self.max_clock_drift);
        lease
            .saturating_add(lag)
            .div_f64(1.0 - self.max_clock_drift)
    }

    /// Longest time for which a lease lasts from the moment at which a worker grants it.
    pub(crate) fn longest_grant(&self) -> Duration {
        self.longest_lease(self.max_lease, Duration::ZERO)
    }
}

impl Default for DispatchPolicy {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(4_800),
            max_lease: Duration::from_secs(6),
            max_clock_drift: 0.02,
            call_time: Duration::from_millis(900),
            max_call_delay: Duration::from_secs(12),
            stop_repeat: Duration::from_millis(1_200),
            quarantine_time: Duration::from_secs(4),
            failure_limit: 3,
            restart_pause: Duration::from_millis(300),
            stall_factor: 2.5,
            stall_floor: Duration::from_millis(1_800),
            early_start: Duration::ZERO,
            takeover_pause: Duration::from_secs(2),
            max_list_age: Duration::from_millis(1_100),
            max_capacity_age: Duration::from_millis(2_100),
            entry_interval: Duration::from_millis(1_800),
            min_pace_interval: Duration::from_millis(400),
            forecast_horizon: Duration::from_millis(1_800),
            ended_retention: Duration::from_secs(240),
            spread_factor: 1.0,
            defers_overload: false,
            rejects_overload: false,
        }
    }
}
