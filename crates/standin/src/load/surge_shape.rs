use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Load of a surging queue relative to its mean.
const SURGE_FACTOR: f64 = 5.0;
/// Load of a queue after its surge relative to its mean.
const QUIET_FACTOR: f64 = 0.05;

/// Load that surges in each queue in turn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SurgeShape {
    /// Mean requests per second of each queue.
    pub mean_rate: f64,
    /// Number of queues.
    pub queues: usize,
    /// Time that a surge lasts.
    pub surge: Duration,
}

/// One request of an open-loop schedule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    /// Number of the queue.
    pub queue: usize,
}

impl SurgeShape {
    /// Load of a queue relative to its mean.
    ///
    /// A cycle has one surge per queue. A queue is at 5 times its mean in its own surge and at
    /// 1/20 in the next one. In between it is at the level that keeps the mean, 1/20 at the least.
    #[must_use]
    pub fn factor(&self, queue: usize, at: Duration) -> f64 {
        let queues = self.queues.max(1);
        let turn = (at.as_secs_f64() / self.surge.as_secs_f64()) as usize % queues;
        match (turn + queues - queue % queues) % queues {
            0 => SURGE_FACTOR,
            1 => QUIET_FACTOR,
            _ => {
                let others = queues as f64 - SURGE_FACTOR - QUIET_FACTOR;
                (others / (queues as f64 - 2.0)).max(QUIET_FACTOR)
            }
        }
    }

    /// Arrivals in order of time, drawn from `seed`: a Poisson process with the shape's rate.
    #[must_use]
    pub fn schedule(&self, duration: Duration, max_requests: u64, seed: u64) -> Vec<Arrival> {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for queue in 0..self.queues {
            let mut at = Duration::ZERO;
            loop {
                // Candidates come at the highest rate and are kept with the rate's proportion.
                let uniform: f64 = random.random();
                let gap = -(1.0 - uniform).ln() / (self.mean_rate * SURGE_FACTOR);
                at += Duration::from_secs_f64(gap);
                if at >= duration {
                    break;
                }
                if random.random::<f64>() * SURGE_FACTOR < self.factor(queue, at) {
                    arrivals.push(Arrival { at, queue });
                }
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals.truncate(usize::try_from(max_requests).unwrap_or(usize::MAX));
        arrivals
    }
}
