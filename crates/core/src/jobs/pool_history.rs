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
    /// Instances that ran nothing while nothing waited.
    idle: usize,
}

/// Surge in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct CurrentSurge {
    pub started: TimePoint,
    /// Largest number of instances that its running work has needed so far.
    size: usize,
}

/// What has become of the surges of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SurgeChange {
    /// No surge has started or ended.
    Unchanged,
    Started,
    /// A surge has ended that used at most the given number of instances.
    Ended(usize),
}

/// Recent demand of a pool.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolHistory {
    needs: VecDeque<SizeNeed>,
    /// Instances for the expected work.
    expected: usize,
    surge: Option<CurrentSurge>,
    /// When the last surge ended.
    surge_ended: Option<TimePoint>,
}

impl PoolHistory {
    /// Records the current demand and returns whether a surge has started or ended. `equal_share` is
    /// an equal share of all instances, and `capacity` the CPU of an instance in thousandths of a
    /// core.
    pub(super) fn record(
        &mut self,
        state: &PoolState,
        equal_share: usize,
        capacity: u64,
        policy: &ScalingPolicy,
        now: TimePoint,
    ) -> SurgeChange {
        let load = &state.load;
        let count = |cpu: u64| instances_for(cpu, capacity, policy.headroom);
        let running = load.long_running + load.batch;
        let current = count(running.saturating_add(load.waiting));
        // A long-running task can wait despite free CPU: for memory, or for a worker that is not
        // being evacuated. An additional instance helps in both cases. Growth stops at an equal
        // share of all instances, because the task may be waiting for its team's limit instead.
        let added = load.waiting_long_running.min(MAX_LONG_RUNNING_GROWTH);
        let least = if added > 0 {
            (state.instances + added).min(equal_share)
        } else {
            0
        };
        self.expected = count(load.long_running.saturating_add(load.expected)).max(least);
        self.needs.push_back(SizeNeed {
            at: now,
            instances: self.expected.max(current),
            idle: if load.waiting_tasks > 0 {
                0
            } else {
                state.idle
            },
        });
        while self
            .needs
            .pop_front_if(|need| now.since(need.at) > policy.off_wait)
            .is_some()
        {}
        #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
        let limit = equal_share as f64 * capacity as f64 * policy.surge_share;
        let work = load.expected.max(load.batch.saturating_add(load.waiting));
        self.update_surge(work, limit, count(running), now)
    }

    /// Updates whether the pool has a surge: its batch work exceeds `limit`, in thousandths of a
    /// core. `used` is the number of instances for the running work.
    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    fn update_surge(&mut self, work: u64, limit: f64, used: usize, now: TimePoint) -> SurgeChange {
        let work = work as f64;
        if let Some(surge) = &mut self.surge {
            surge.size = surge.size.max(used);
            if work >= limit * SURGE_END {
                return SurgeChange::Unchanged;
            }
            let size = surge.size;
            self.surge = None;
            self.surge_ended = Some(now);
            return SurgeChange::Ended(size);
        }
        let is_cooling_down = self
            .surge_ended
            .is_some_and(|at| now.since(at) < SURGE_COOLDOWN);
        if is_cooling_down || work <= limit || limit <= 0.0 {
            return SurgeChange::Unchanged;
        }
        self.surge = Some(CurrentSurge {
            started: now,
            size: 0,
        });
        SurgeChange::Started
    }

    /// The surge that the pool has.
    pub(super) const fn surge(&self) -> Option<&CurrentSurge> {
        self.surge.as_ref()
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

    /// Number of instances that have run nothing for all of the last `time`, although the expected
    /// work may need them; zero if the record is shorter than that.
    pub(super) fn least_idle(&self, time: Duration, now: TimePoint) -> usize {
        let is_covered = self
            .needs
            .front()
            .is_some_and(|need| now.since(need.at) >= time);
        let needs = self.needs.iter();
        let recent = needs.filter(|need| now.since(need.at) <= time);
        let least = recent.map(|need| need.idle).min();
        least.filter(|_| is_covered).unwrap_or(0)
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
