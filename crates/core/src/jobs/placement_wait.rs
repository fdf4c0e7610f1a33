//! Whether a task waits for room on its preferred rack, or starts on another one now.
//!
//! Load pattern: a task takes `spread factor` times as long off the rack that holds its data, and
//! workers of that rack get room within a fraction of a run time. A run elsewhere also occupies
//! its capacity for the additional time, which delays other tasks while the pool is full.

use std::time::Duration;

use super::TaskName;

/// Longest wait. A task must not stay without a start for 3 s while there is room for it; the rest
/// covers late planning rounds and lost start orders.
pub const MAX_PLACEMENT_WAIT: Duration = Duration::from_secs(2);

/// Two planning intervals of 25 ms: a wait ends that much before the objective would be missed,
/// since it can only end in a planning round.
const ROUND_MARGIN: Duration = Duration::from_millis(50);

/// Longest possible wait as a multiple of the expected one. Declared run times are off by up to
/// 90%, so that a wait may take up to about twice the expected time.
const WAIT_SPREAD: f64 = 2.0;

/// How a wait for a preferred rack went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome {
    /// The task waits.
    Begun {
        /// Expected time until the rack has room.
        expected: Duration,
        /// Time after which the task starts elsewhere.
        limit: Duration,
    },
    /// The task started on its preferred rack.
    PaidOff {
        /// Time since the wait began.
        waited: Duration,
    },
    /// The task started elsewhere.
    GivenUp {
        /// Time since the wait began.
        waited: Duration,
    },
    /// The task no longer waits for a start, for example because its job was cancelled.
    Dropped,
}

impl WaitOutcome {
    /// Returns the name of the outcome in metrics and log lines.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Begun { .. } => "begun",
            Self::PaidOff { .. } => "paid-off",
            Self::GivenUp { .. } => "given-up",
            Self::Dropped => "dropped",
        }
    }

    /// Returns the time that the task has waited, or is expected to wait.
    #[must_use]
    pub const fn time(self) -> Duration {
        match self {
            Self::Begun { expected, .. } => expected,
            Self::PaidOff { waited } | Self::GivenUp { waited } => waited,
            Self::Dropped => Duration::ZERO,
        }
    }
}

/// Wait of a task for its preferred rack that has begun or ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementWait {
    /// Task; the first one of a gang.
    pub task: TaskName,
    /// How the wait went.
    pub outcome: WaitOutcome,
}

/// What is weighed for a task that could start now, but not on its preferred rack.
#[derive(Debug, Clone, Copy)]
pub struct WaitOutlook {
    /// Expected time until the rack has room for the task.
    pub expected: Duration,
    /// Run time on the rack.
    pub near_time: Duration,
    /// Multiple of the run time elsewhere.
    pub spread_factor: f64,
    /// Share of the pool's processor capacity that is in use, from 0 to 1.
    pub occupancy: f64,
}

impl WaitOutlook {
    /// Returns the run time that the rack saves.
    #[must_use]
    pub fn saving(&self) -> Duration {
        let saved = self.near_time.as_secs_f64() * (self.spread_factor - 1.0);
        Duration::try_from_secs_f64(saved).unwrap_or_default()
    }

    /// Returns the longest time that the task may wait: the run time saved, at most
    /// [`MAX_PLACEMENT_WAIT`], and only as long as a run elsewhere can still meet the objective. If
    /// only a run on the rack can meet it, the wait cannot make that worse.
    ///
    /// `slack_ms` is the objective of the job less its expected end if the task started on the rack
    /// now, in milliseconds; negative if the job is late.
    #[must_use]
    pub fn limit(&self, slack_ms: i64) -> Duration {
        let saving = self.saving();
        let limit = saving.min(MAX_PLACEMENT_WAIT);
        let slack = u64::try_from(slack_ms).map_or(Duration::ZERO, Duration::from_millis);
        match slack.checked_sub(saving) {
            Some(left) => limit.min(left.saturating_sub(ROUND_MARGIN)),
            None => limit,
        }
    }

    /// Whether a wait of at most `limit` from now on is expected to save more time than it costs.
    ///
    /// The wait is taken as evenly distributed from zero to [`WAIT_SPREAD`] times the expected one.
    /// If it succeeds, it saves the run time, and that part of the run time again which other tasks
    /// would wait for the capacity; otherwise it costs `limit`.
    #[must_use]
    pub fn pays_off(&self, limit: Duration) -> bool {
        if limit.is_zero() || self.expected > limit {
            return false;
        }
        let worth = self.saving().as_secs_f64() * (1.0 + self.occupancy.clamp(0.0, 1.0));
        let expected = self.expected.as_secs_f64();
        let limit = limit.as_secs_f64();
        let longest = expected * WAIT_SPREAD;
        if longest <= limit {
            return worth > expected;
        }
        let success = limit / longest;
        success * (worth - limit / 2.0) > (1.0 - success) * limit
    }
}
