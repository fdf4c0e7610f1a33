use std::collections::VecDeque;
use std::time::Duration;

use sesamedeal_core::code::ResultCode;
use sesamedeal_core::time::TimePoint;

use super::share_fleet::ShareFleet;
use super::share_simulation::JobFate;

/// Time after which a caller comes back when its job was given up.
const RETRY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct PoolQueue {
    free: u32,
    /// Groups of the queued jobs, with the jobs' deadlines.
    waiting: VecDeque<(usize, TimePoint)>,
}

/// Baseline without shares and limits: one queue per pool for the whole fleet, served in order of
/// arrival.
#[derive(Debug)]
pub(super) struct FirstCome {
    queues: Vec<PoolQueue>,
}

impl FirstCome {
    pub(super) fn new(fleet: &ShareFleet) -> Self {
        let queue = |slots| PoolQueue {
            free: slots,
            waiting: VecDeque::new(),
        };
        Self {
            queues: fleet.pools.iter().map(|pool| queue(pool.slots)).collect(),
        }
    }

    pub(super) fn submit(&mut self, group: usize, pool: usize, deadline: TimePoint) {
        self.queues[pool].waiting.push_back((group, deadline));
    }

    pub(super) fn finish(&mut self, pool: usize) {
        self.queues[pool].free += 1;
    }

    /// Starts jobs while slots are free, and gives up those whose deadline has passed.
    pub(super) fn act(&mut self, now: TimePoint) -> Vec<(usize, JobFate)> {
        let mut fates = Vec::new();
        for queue in &mut self.queues {
            while let Some((group, deadline)) = queue.waiting.front().copied() {
                if deadline <= now {
                    let code = ResultCode::DeadlinePassed;
                    let retry_after = RETRY;
                    fates.push((group, JobFate::Refused { code, retry_after }));
                } else if queue.free > 0 {
                    queue.free -= 1;
                    let (entry, attempt) = (0, None);
                    fates.push((group, JobFate::Started { entry, attempt }));
                } else {
                    break;
                }
                queue.waiting.pop_front();
            }
        }
        fates
    }
}
