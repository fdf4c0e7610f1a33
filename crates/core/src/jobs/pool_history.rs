use std::collections::VecDeque;
use std::time::Duration;

use super::{PoolState, ScalingPolicy};
use crate::time::TimePoint;

/// Maximum number of instances added in one decision for waiting long-running tasks.
const MAX_LONG_RUNNING_GROWTH: usize = 2;

/// Time after the end of a surge before a new one can start.
const SURGE_COOLDOWN: Duration = Duration::from_millis(1_500);

/// Fraction of the work at which a surge starts below which it ends.
const SURGE_END: f64 = 0.5;

/// Number of instances that a pool needed at a point in time.
#[derive(Debug, Clone, Copy)]
struct SizeNeed {
    at: TimePoint,
    /// For running and waiting work, or for the work expected if that is more.
    instances: usize,
}

/// Recent demand of a pool.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolHistory {
    needs: VecDeque<SizeNeed>,
    /// Instances for the expected work.
    expected: usize,
    /// Whether the pool has a surge, and when the last one ended.
    pub(super) is_surging: bool,
    surge_ended: Option<TimePoint>,
}

impl PoolHistory {
    /// Records the current demand. `equal_share` is an equal share of all instances, and `capacity`
    /// the CPU of an instance in thousandths of a core.
    pub(super) fn record(
        &mut self,
        state: &PoolState,
        equal_share: usize,
        capacity: u64,
        policy: &ScalingPolicy,
        now: TimePoint,
    ) {
        let load = &state.load;
        let count = |cpu: u64| instances_for(cpu, capacity, policy.headroom);
        let current = count(load.long_running + load.batch + load.waiting);
        // A long-running task can wait despite free CPU: for memory, or for a worker that is not
        // being evacuated. An additional instance helps in both cases. Growth stops at an equal
        // share of all instances, because the task may be waiting for its team's limit instead.
        let added = load.waiting_long_running.min(MAX_LONG_RUNNING_GROWTH);
        let least = if added > 0 {
            (state.instances + added).min(equal_share)
        } else {
            0
        };
        self.expected = count(load.long_running + load.expected).max(least);
        self.needs.push_back(SizeNeed {
            at: now,
            instances: self.expected.max(current),
        });
        while self
            .needs
            .pop_front_if(|need| now.since(need.at) > policy.off_wait)
            .is_some()
        {}
    }

    /// Updates whether the pool has a surge, and returns whether one has just started.
    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    pub(super) fn update_surge(
        &mut self,
        state: &PoolState,
        equal_share: usize,
        capacity: u64,
        policy: &ScalingPolicy,
        now: TimePoint,
    ) -> bool {
        let load = &state.load;
        let work = load.expected.max(load.batch + load.waiting) as f64;
        let limit = equal_share as f64 * capacity as f64 * policy.surge_share;
        if self.is_surging {
            if work < limit * SURGE_END {
                self.is_surging = false;
                self.surge_ended = Some(now);
            }
            return false;
        }
        let is_cooling_down = self
            .surge_ended
            .is_some_and(|at| now.since(at) < SURGE_COOLDOWN);
        self.is_surging = !is_cooling_down && work > limit && limit > 0.0;
        self.is_surging
    }

    /// Number of instances for the expected work.
    pub(super) const fn expected(&self) -> usize {
        self.expected
    }

    /// Largest number of instances needed within the last `time`.
    pub(super) fn peak(&self, time: Duration, now: TimePoint) -> usize {
        let needs = self.needs.iter();
        let recent = needs.filter(|need| now.since(need.at) <= time);
        let sizes = recent.map(|need| need.instances);
        sizes.max().unwrap_or(0)
    }
}

/// Returns the number of instances for `used` thousandths of a core plus headroom.
fn instances_for(used: u64, capacity: u64, headroom: f64) -> usize {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "amounts are far below 2^52 and not negative"
    )]
    let instances = (used as f64 * (1.0 + headroom) / capacity.max(1) as f64).ceil() as usize;
    instances
}
