use std::time::Duration;

use super::scaled_amount::scaled;
use super::{PoolLoad, PoolState, ScalingPolicy};
use crate::time::TimePoint;

/// Most instances that a pool gets at once for lasting tasks that wait.
const FURTHER_INSTANCES: usize = 2;

/// Time from the begin of a surge in which the arrivals of the last second say too little.
const ONSET: Duration = Duration::from_millis(1_000);

/// Time in which a surge that has ended does not begin again: what came last still runs.
const REST: Duration = Duration::from_millis(1_500);

/// Time within which what has waited at the begin of a surge is worked off.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Largest multiple of what a surge wants so far up to which it is expected to grow.
const GROWTH: usize = 2;

/// Jobs within a second from which they can be a surge.
const LEAST_ARRIVALS: usize = 3;

/// Time for which wanted sizes are remembered while a surge fades.
const FADE_MEMORY: Duration = Duration::from_millis(600);

/// A surge of a pool.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolSurge {
    pub begun: TimePoint,
    /// Largest arrivals so far.
    peak: u64,
    /// Whether the arrivals grow.
    is_rising: bool,
    /// Whether the arrivals have fallen well below their peak.
    is_fading: bool,
}

/// What a pool wanted at a time.
#[derive(Debug, Clone, Copy)]
struct WantedSize {
    at: TimePoint,
    /// Instances for what is in use, waits and comes.
    wanted: usize,
    /// Instances for what is in use and waits.
    present: usize,
    /// The same without headroom.
    least: usize,
    /// Instances for what is in use, waits and comes, without headroom.
    coming: usize,
    /// Instances for what is in use.
    used: usize,
}

/// Demand of a pool in the recent past.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolHistory {
    sizes: Vec<WantedSize>,
    /// The surge under way.
    pub surge: Option<PoolSurge>,
    ebbed: Option<TimePoint>,
}

impl PoolHistory {
    /// Takes the demand of this moment; true if a surge has begun. `even` is an even part of all
    /// instances, `capacity` the processor of one, and `usual` the instances that earlier surges
    /// took.
    pub(super) fn note(
        &mut self,
        size: &PoolState,
        (even, usual): (usize, usize),
        capacity: u64,
        policy: &ScalingPolicy,
        now: TimePoint,
    ) -> bool {
        let has_begun = self.note_surge(&size.load, even, capacity, policy, now);
        let is_onset = self
            .surge
            .is_some_and(|surge| now.since(surge.begun) < ONSET);
        let mut load = size.load;
        if is_onset {
            // What comes until the instances have moved waits, and is worked off beside the rest.
            let backlog = policy.move_time.as_secs_f64() / DRAIN_TIME.as_secs_f64();
            let coming = load.arriving.max(load.arriving_now);
            load.arriving = scaled(coming, 1.0 + backlog);
        }
        let mut wanted = wanted_instances(&load, capacity, policy.headroom);
        let coming = wanted_instances(&load, capacity, 0.0);
        if self.surge.is_some_and(|surge| surge.is_rising) {
            // The surge grows as far as earlier ones did, unless it is much smaller so far.
            wanted = wanted.max(usual.min(wanted * GROWTH));
        }
        load.arriving = 0;
        let present = wanted_instances(&load, capacity, policy.headroom);
        // A lasting task can wait beside free processor, for memory or for a worker that is not
        // being emptied. Another instance helps in each case, up to an even part of all: the limit
        // of a team can hold the task back too.
        let further = size.load.waiting_long_running.min(FURTHER_INSTANCES);
        let least = if further > 0 {
            (size.instances + further).min(even)
        } else {
            0
        };
        self.sizes.push(WantedSize {
            at: now,
            wanted: wanted.max(least),
            present: present.max(least),
            least: wanted_instances(&load, capacity, 0.0).max(least),
            coming: coming.max(least),
            used: instances_for(load.long_running + load.batch, capacity, 0.0),
        });
        let is_fading = self.surge.is_some_and(|surge| surge.is_fading);
        let memory = if is_fading {
            FADE_MEMORY
        } else {
            policy.peak_window
        };
        self.sizes.retain(|size| now.since(size.at) <= memory);
        has_begun
    }

    /// Follows the surge; true if one has begun.
    fn note_surge(
        &mut self,
        load: &PoolLoad,
        even: usize,
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
            surge.is_fading = is_below(policy.fade_share) && now.since(surge.begun) >= ONSET;
            if is_low && load.waiting == 0 && now.since(surge.begun) >= ONSET {
                self.surge = None;
                self.ebbed = Some(now);
                self.sizes.clear();
            }
            return false;
        }
        let is_resting = self.ebbed.is_some_and(|at| now.since(at) < REST);
        let holds = u64::try_from(even)
            .unwrap_or(u64::MAX)
            .saturating_mul(capacity);
        // What a new owner finds running is all that it knows of a surge under way.
        let found = if self.ebbed.is_none() { load.batch } else { 0 };
        // One large job is no surge.
        let coming = if load.arrivals >= LEAST_ARRIVALS {
            load.arriving.max(load.arriving_now)
        } else {
            0
        };
        let demand = coming.max(load.waiting).max(found);
        #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
        let is_high = demand as f64 > holds as f64 * policy.surge_share;
        if is_resting || !is_high || holds == 0 {
            return false;
        }
        self.surge = Some(PoolSurge {
            begun: now,
            peak: load.arriving.max(found),
            is_rising: true,
            is_fading: false,
        });
        true
    }

    /// Whether a surge has ended within the last `time`.
    pub(super) fn has_ebbed_within(&self, time: Duration, now: TimePoint) -> bool {
        self.ebbed.is_some_and(|at| now.since(at) < time)
    }

    /// Largest size wanted lately.
    pub(super) fn peak(&self) -> usize {
        let sizes = self.sizes.iter().map(|size| size.wanted);
        sizes.max().unwrap_or(0)
    }

    /// Instances that are in use.
    pub(super) fn used(&self) -> usize {
        self.sizes.last().map_or(0, |size| size.used)
    }

    /// Size for what is in use and waits.
    pub(super) fn present(&self) -> usize {
        self.sizes.last().map_or(0, |size| size.present)
    }

    /// Size for what is in use, waits and comes, without headroom.
    pub(super) fn coming(&self) -> usize {
        self.sizes.last().map_or(0, |size| size.coming)
    }

    /// Size for what is in use and waits, without headroom.
    pub(super) fn least(&self) -> usize {
        self.sizes.last().map_or(0, |size| size.least)
    }
}

/// Instances that hold what is in use and what waits, or what comes if that is more.
fn wanted_instances(load: &PoolLoad, capacity: u64, headroom: f64) -> usize {
    // A backlog of short tasks needs less room than its tasks at once.
    let waiting = load.waiting.min(load.backlog.max(load.waiting / 2));
    // While a backlog is worked off, what comes needs room beside it.
    let used = load.long_running + u64::max(load.batch, load.arriving) + waiting;
    instances_for(used, capacity, headroom)
}

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
