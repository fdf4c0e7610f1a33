use std::collections::VecDeque;

use super::JobId;

/// Number of jobs over which the sizes of a queue are taken.
const SAMPLES: usize = 256;

/// Number of jobs after which the measures are derived again.
const REFRESH: usize = 16;

/// Share of the jobs of a queue that are not large. The largest tenth and the next fifth are to be
/// served at least half as often as the queue as a whole.
const SMALL_SHARE: f64 = 0.7;

/// Share of the large jobs that are served in any case, relative to the share of all jobs of the
/// queue. Above the one half that is required, since some of them end late.
const LARGE_FACTOR: f64 = 0.5;

/// Decay factor of the numbers of served and missed jobs for each job.
const RETENTION: f64 = 0.99;

/// Value of a job without work, and the value of one of mean work beyond that.
const VALUE: (f64, f64) = (0.3, 0.7);

/// Largest value of a job.
const MAX_VALUE: f64 = 4.0;

/// Sizes of a queue's jobs, and how many of them were served in time while their pool was
/// overloaded.
#[derive(Debug, Default)]
pub(super) struct QueueSizes {
    /// Declared work of the last jobs, in core milliseconds.
    samples: VecDeque<u64>,
    /// Number of jobs since the measures were derived.
    pending: usize,
    mean: f64,
    /// Work from which on a job is large, in core milliseconds.
    large: u64,
    served: f64,
    missed: f64,
}

impl QueueSizes {
    /// Records a job that has arrived.
    pub(super) fn record(&mut self, work: u64) {
        if self.samples.len() >= SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(work);
        self.pending += 1;
        if self.pending >= REFRESH || self.samples.len() <= REFRESH {
            self.derive();
        }
    }

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "amounts are far below 2^52 and not negative"
    )]
    fn derive(&mut self) {
        self.pending = 0;
        let count = self.samples.len();
        let sum: u64 = self.samples.iter().sum();
        self.mean = sum as f64 / count as f64;
        let mut sorted: Vec<u64> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let at = (count as f64 * SMALL_SHARE) as usize;
        self.large = sorted[at.min(count - 1)];
    }

    /// Records whether a job was served in time.
    pub(super) fn record_outcome(&mut self, is_served: bool) {
        self.served = self.served * RETENTION + f64::from(u8::from(is_served));
        self.missed = self.missed * RETENTION + f64::from(u8::from(!is_served));
    }

    /// Value of a job with `work` core milliseconds: 0.3 plus 0.7 times its work relative to the
    /// mean, at most 4.
    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    fn value(&self, work: u64) -> f64 {
        let relative = work as f64 / self.mean.max(1.0);
        (VALUE.0 + VALUE.1 * relative).min(MAX_VALUE)
    }

    /// Remaining work relative to the value of a job with `total` core milliseconds of declared
    /// work; 0 if the job is one of the large jobs that are served in any case.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "amounts are far below 2^52 and not negative"
    )]
    pub(super) fn work_per_value(&self, id: JobId, remaining: u64, total: u64) -> u64 {
        if total >= self.large && draw(id) < LARGE_FACTOR * self.served_share() {
            return 0;
        }
        (remaining as f64 / self.value(total)).max(1.0) as u64
    }

    fn served_share(&self) -> f64 {
        (self.served + 1.0) / (self.served + self.missed + 1.0)
    }
}

/// Number from 0 to 1 that is fixed for a job and evenly spread over the jobs.
#[expect(clippy::cast_precision_loss, reason = "53 bits are kept")]
fn draw(id: JobId) -> f64 {
    // Finalizer of splitmix64, since callers may number their jobs.
    let mut mixed = id.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}
