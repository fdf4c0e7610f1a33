use std::time::Duration;

/// Times and thresholds of the dispatcher.
#[derive(Debug, Clone)]
pub struct DispatchPolicy {
    /// Length of the lease that each call to a worker extends.
    pub lease: Duration,
    /// Longest lease that workers grant. An owner that cannot renew its ownership asks for it, so
    /// that tasks outlive the takeover.
    pub max_lease: Duration,
    /// Share by which a worker's clock may be slow.
    pub max_clock_drift: f64,
    /// Time after which a stop without a listed end is sent again.
    pub stop_repeat: Duration,
    /// Time that a worker is left out after it refused a start or failed several tasks.
    pub quarantine_time: Duration,
    /// Consecutive failures of tasks of different jobs after which a worker is left out.
    pub failure_limit: u32,
    /// Time between two starts of a lasting task that keeps failing.
    pub restart_pause: Duration,
    /// Times the estimate that a task may make no progress before it is moved.
    pub stall_factor: f64,
    /// Least time without progress before a task is moved.
    pub stall_floor: Duration,
    /// Difference that a scheduled start may lie before its time; 0 to start in time or later.
    pub early_start: Duration,
    /// Time after a takeover in which no task with a disruption budget is taken out. A stop of the
    /// earlier owner takes effect within 0.9 s, and until then its task is listed as at work.
    pub takeover_pause: Duration,
    /// Longest age of a worker's list that shows a task as at work. A worker with tasks answers at
    /// least every 0.9 s.
    pub max_list_age: Duration,
    /// Least time between two pace orders for one task.
    pub min_pace_interval: Duration,
    /// Time that the record of an ended job is kept for callers who ask for it.
    pub ended_retention: Duration,
}

impl Default for DispatchPolicy {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(4_800),
            max_lease: Duration::from_secs(6),
            max_clock_drift: 0.02,
            stop_repeat: Duration::from_millis(1_200),
            quarantine_time: Duration::from_secs(4),
            failure_limit: 3,
            restart_pause: Duration::from_millis(300),
            stall_factor: 2.5,
            stall_floor: Duration::from_millis(1_800),
            early_start: Duration::ZERO,
            takeover_pause: Duration::from_secs(2),
            max_list_age: Duration::from_millis(1_100),
            min_pace_interval: Duration::from_millis(400),
            ended_retention: Duration::from_secs(240),
        }
    }
}
