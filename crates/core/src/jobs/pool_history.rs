use super::{PoolLoad, PoolSize, SizingPolicy};
use crate::time::TimePoint;

/// Most instances that a pool gets at once for lasting tasks that wait.
const FURTHER_INSTANCES: usize = 2;

/// Demand of a pool in the recent past.
#[derive(Debug, Clone, Default)]
pub(super) struct PoolHistory {
    /// Wanted sizes, and sizes for what was in use and waited.
    wanted: Vec<(TimePoint, usize, usize)>,
    /// When the pool surged last.
    pub surged: Option<TimePoint>,
}

impl PoolHistory {
    /// Takes the demand of this moment. `even` is an even part of all instances, `capacity` the
    /// processor of one.
    pub(super) fn note(
        &mut self,
        size: &PoolSize,
        even: usize,
        capacity: u64,
        policy: &SizingPolicy,
        now: TimePoint,
    ) {
        let wanted = wanted_instances(&size.load, capacity, policy.headroom);
        let load = PoolLoad {
            arriving: 0,
            ..size.load
        };
        let present = wanted_instances(&load, capacity, policy.headroom);
        // A lasting task can wait beside free processor, for memory or for a worker that is not
        // being emptied. Another instance helps in each case, up to an even part of all: the limit
        // of a team can hold the task back too.
        let further = size.load.waiting_lasting.min(FURTHER_INSTANCES);
        let least = if further > 0 {
            (size.instances + further).min(even)
        } else {
            0
        };
        self.wanted
            .push((now, wanted.max(least), present.max(least)));
        let memory = policy.peak_memory;
        self.wanted.retain(|(at, ..)| now.since(*at) <= memory);
        if is_surging(&size.load, policy.surge_share) {
            self.surged = Some(now);
        }
    }

    /// Largest size wanted lately.
    pub(super) fn peak(&self) -> usize {
        let sizes = self.wanted.iter().map(|(_, wanted, _)| *wanted);
        sizes.max().unwrap_or(0)
    }

    /// Size for what is in use and waits.
    pub(super) fn present(&self) -> usize {
        self.wanted.last().map_or(0, |(_, _, present)| *present)
    }
}

/// Instances that hold what is in use and what waits, or what comes if that is more.
fn wanted_instances(load: &PoolLoad, capacity: u64, headroom: f64) -> usize {
    // A backlog of short tasks needs less room than its tasks at once.
    let waiting = load.waiting.min(load.backlog.max(load.waiting / 2));
    // While a backlog is worked off, what comes needs room beside it.
    let ending = if waiting > 0 {
        load.ending + waiting + load.arriving / 2
    } else {
        load.ending
    };
    let used = load.lasting + u64::max(ending, load.arriving);
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "amounts are far below 2^52 and not negative"
    )]
    let instances = (used as f64 * (1.0 + headroom) / capacity.max(1) as f64).ceil() as usize;
    instances
}

fn is_surging(load: &PoolLoad, share: f64) -> bool {
    let demand = load.lasting + load.ending + load.waiting;
    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    let is_surging = demand as f64 > load.capacity as f64 * share;
    is_surging && load.capacity > 0
}
