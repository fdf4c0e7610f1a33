use std::time::Duration;

use super::scaled_amount::scaled;
use super::{PoolLoad, PoolState, ScalingPolicy};
use crate::time::TimePoint;

/// Maximum number of instances added in one decision for waiting long-running tasks.
const MAX_LONG_RUNNING_GROWTH: usize = 2;

/// Time after the start of a surge during which the arrivals of the last second understate it.
const ONSET: Duration = Duration::from_millis(1_000);

/// Time after the end of a surge before a new one can start, since the last arrivals still run.
const SURGE_COOLDOWN: Duration = Duration::from_millis(1_500);

/// Time within which the backlog from the start of a surge is to be processed.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Maximum factor by which a rising surge is expected to outgrow its current demand.
const MAX_GROWTH: usize = 2;

/// Minimum number of jobs arriving within a second that can start a surge. One large job is no
/// surge.
const MIN_ARRIVALS: usize = 3;

/// Window over which the peak size is taken while a surge fades.
const FADE_WINDOW: Duration = Duration::from_millis(600);

/// Demand surge in progress in a pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolSurge {
    pub started: TimePoint,
    /// Highest arrival rate so far, in thousandths of a core.
    peak: u64,
    /// Whether the arrival rate is at its highest.
    is_rising: bool,
    /// Whether the arrival rate has fallen well below its peak.
    is_fading: bool,
}

/// Number of instances that a pool needed at a point in time, for different parts of its demand.
#[derive(Debug, Clone, Copy)]
struct WantedSize {
    at: TimePoint,
    /// For running, waiting and expected work, with headroom.
    wanted: usize,
    /// For running and waiting work, with headroom.
    present: usize,
    /// For running and waiting work, without headroom.
    least: usize,
    /// For running, waiting and expected work, without headroom.
    expected: usize,
    /// For running work only, without headroom.
    used: usize,
}

/// Recent demand of a pool.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolHistory {
    sizes: Vec<WantedSize>,
    /// The surge in progress.
    pub surge: Option<PoolSurge>,
    /// When the last surge ended.
    surge_ended: Option<TimePoint>,
}

impl PoolHistory {
    /// Records the current demand and returns whether a surge has just started.
    ///
    /// `equal_share` is an equal share of all instances, `largest_surge` the largest number of
    /// instances that a surge has used, and `capacity` the CPU of an instance in thousandths of a
    /// core.
    pub(super) fn record(
        &mut self,
        state: &PoolState,
        (equal_share, largest_surge): (usize, usize),
        capacity: u64,
        policy: &ScalingPolicy,
        now: TimePoint,
    ) -> bool {
        let has_started = self.update_surge(&state.load, equal_share, capacity, policy, now);
        let is_onset = self
            .surge
            .is_some_and(|surge| now.since(surge.started) < ONSET);
        let mut load = state.load;
        if is_onset {
            // Work that arrives until the added instances have moved waits, and has to be processed
            // in addition to later arrivals.
            let backlog = policy.move_time.as_secs_f64() / DRAIN_TIME.as_secs_f64();
            let arriving = load.arriving.max(load.arriving_now);
            load.arriving = scaled(arriving, 1.0 + backlog);
        }
        let mut wanted = wanted_instances(&load, capacity, policy.headroom);
        let expected = wanted_instances(&load, capacity, 0.0);
        if self.surge.is_some_and(|surge| surge.is_rising) {
            // Expects the surge to grow as large as earlier ones unless it is much smaller so far.
            wanted = wanted.max(largest_surge.min(wanted * MAX_GROWTH));
        }
        load.arriving = 0;
        let present = wanted_instances(&load, capacity, policy.headroom);
        // A long-running task can wait despite free CPU: for memory, or for a worker that is not
        // being evacuated. An additional instance helps in both cases. Growth stops at an equal
        // share of all instances, because the task may be waiting for its team's limit instead.
        let added = state.load.waiting_long_running.min(MAX_LONG_RUNNING_GROWTH);
        let least = if added > 0 {
            (state.instances + added).min(equal_share)
        } else {
            0
        };
        self.sizes.push(WantedSize {
            at: now,
            wanted: wanted.max(least),
            present: present.max(least),
            least: wanted_instances(&load, capacity, 0.0).max(least),
            expected: expected.max(least),
            used: instances_for(load.long_running + load.batch, capacity, 0.0),
        });
        let is_fading = self.surge.is_some_and(|surge| surge.is_fading);
        let window = if is_fading {
            FADE_WINDOW
        } else {
            policy.peak_window
        };
        self.sizes.retain(|size| now.since(size.at) <= window);
        has_started
    }

    /// Updates the state of the surge and returns whether one has just started.
    fn update_surge(
        &mut self,
        load: &PoolLoad,
        equal_share: usize,
        capacity: u64,
        policy: &ScalingPolicy,
        now: TimePoint,
    ) -> bool {
        if let Some(surge) = &mut self.surge {
            surge.is_rising = load.arriving >= surge.peak;
            surge.peak = surge.peak.max(load.arriving);
            #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
            let is_below = |share: f64| (load.arriving as f64) < surge.peak as f64 * share;
            let is_low = is_below(policy.end_share);
            surge.is_fading = is_below(policy.fade_share) && now.since(surge.started) >= ONSET;
            if is_low && load.waiting == 0 && now.since(surge.started) >= ONSET {
                self.surge = None;
                self.surge_ended = Some(now);
                self.sizes.clear();
            }
            return false;
        }
        let is_cooling_down = self
            .surge_ended
            .is_some_and(|at| now.since(at) < SURGE_COOLDOWN);
        let equal_share_capacity = u64::try_from(equal_share)
            .unwrap_or(u64::MAX)
            .saturating_mul(capacity);
        // A new owner has no arrival history, so it can detect a surge in progress only by the
        // running tasks.
        let running = if self.surge_ended.is_none() {
            load.batch
        } else {
            0
        };
        let arriving = if load.arrivals >= MIN_ARRIVALS {
            load.arriving.max(load.arriving_now)
        } else {
            0
        };
        let demand = arriving.max(load.waiting).max(running);
        #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
        let is_high = demand as f64 > equal_share_capacity as f64 * policy.surge_share;
        if is_cooling_down || !is_high || equal_share_capacity == 0 {
            return false;
        }
        self.surge = Some(PoolSurge {
            started: now,
            peak: load.arriving.max(running),
            is_rising: true,
            is_fading: false,
        });
        true
    }

    /// Whether a surge has ended within the last `time`.
    pub(super) fn has_surge_ended_within(&self, time: Duration, now: TimePoint) -> bool {
        self.surge_ended.is_some_and(|at| now.since(at) < time)
    }

    /// Returns the largest size wanted within the peak window.
    pub(super) fn peak(&self) -> usize {
        let sizes = self.sizes.iter().map(|size| size.wanted);
        sizes.max().unwrap_or(0)
    }

    /// Returns the number of instances for running work.
    pub(super) fn used(&self) -> usize {
        self.sizes.last().map_or(0, |size| size.used)
    }

    /// Returns the size for running and waiting work, with headroom.
    pub(super) fn present(&self) -> usize {
        self.sizes.last().map_or(0, |size| size.present)
    }

    /// Returns the size for running, waiting and expected work, without headroom.
    pub(super) fn expected(&self) -> usize {
        self.sizes.last().map_or(0, |size| size.expected)
    }

    /// Returns the size for running and waiting work, without headroom.
    pub(super) fn least(&self) -> usize {
        self.sizes.last().map_or(0, |size| size.least)
    }
}

/// Returns the number of instances for running and waiting work. Arriving batch work counts instead
/// of running batch work if it is more.
fn wanted_instances(load: &PoolLoad, capacity: u64, headroom: f64) -> usize {
    // A backlog of short tasks needs less capacity than running all of them at once.
    let waiting = load.waiting.min(load.backlog.max(load.waiting / 2));
    // New arrivals need capacity in addition to the backlog.
    let used = load.long_running + u64::max(load.batch, load.arriving) + waiting;
    instances_for(used, capacity, headroom)
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
