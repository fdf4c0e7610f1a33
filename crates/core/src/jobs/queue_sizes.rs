use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

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
const LARGE_FACTOR: f64 = 0.42;

/// Decay factor of the numbers of served and missed jobs for each job.
const RETENTION: f64 = 0.99;

/// Value of a job without work, and the value of one of mean work beyond that.
const VALUE: (f64, f64) = (0.3, 0.7);

/// Largest value of a job.
const MAX_VALUE: f64 = 4.0;

/// Sizes of a queue's jobs, by which their value is measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueScale {
    /// Mean declared work of a job, in core milliseconds.
    pub mean: u64,
    /// Declared work from which on a job is large, in core milliseconds.
    pub large: u64,
    /// Share of the large jobs that are served in any case, in thousandths.
    pub kept_permille: u32,
}

impl QueueScale {
    /// Value of a job: 0.3 plus 0.7 times its work relative to the mean, at most 4.
    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    fn value(self, work: u64) -> f64 {
        let relative = work as f64 / self.mean.max(1) as f64;
        (VALUE.0 + VALUE.1 * relative).min(MAX_VALUE)
    }

    /// Whether a job is one of the large jobs that are served in any case.
    pub(super) fn is_kept(self, work: u64, draw: f64) -> bool {
        work >= self.large && draw * 1_000.0 < f64::from(self.kept_permille)
    }

    /// Work of a job relative to its value, in core milliseconds.
    pub(super) fn work_per_value(self, work: u64) -> u64 {
        self.remaining_per_value(work, work)
    }

    /// Remaining work of a job relative to its value, in core milliseconds.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "amounts are far below 2^52 and not negative"
    )]
    fn remaining_per_value(self, remaining: u64, work: u64) -> u64 {
        (remaining as f64 / self.value(work)).max(1.0) as u64
    }
}

/// Sizes of a queue's jobs, and how many of them were served in time while their pool was
/// overloaded.
#[derive(Debug, Default)]
pub(super) struct QueueSizes {
    /// Declared work of the last jobs, in core milliseconds.
    samples: VecDeque<u64>,
    /// Number of jobs since the measures were derived.
    pending: usize,
    /// Mean work, in core milliseconds.
    mean: u64,
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
        let sum = self.samples.iter().copied().fold(0, u64::saturating_add);
        self.mean = sum / u64::try_from(count).unwrap_or(u64::MAX);
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

    /// Sizes of the jobs, and the share of the large ones that are served in any case.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the share is between 0 and 1"
    )]
    pub(super) fn scale(&self) -> QueueScale {
        let share = (self.served + 1.0) / (self.served + self.missed + 1.0);
        QueueScale {
            mean: self.mean,
            large: self.large,
            kept_permille: (LARGE_FACTOR * share * 1_000.0) as u32,
        }
    }

    /// Remaining work relative to the value of a job with `total` core milliseconds of declared work,
    /// and whether the job is one of the large jobs that are served in any case.
    pub(super) fn rank(&self, id: JobId, remaining: u64, total: u64) -> (u64, bool) {
        let scale = self.scale();
        let is_kept = scale.is_kept(total, draw(id));
        (scale.remaining_per_value(remaining, total), is_kept)
    }
}

/// Number from 0 to 1 that is fixed for a job and evenly spread over the jobs.
#[expect(clippy::cast_precision_loss, reason = "53 bits are kept")]
pub(super) fn draw(id: JobId) -> f64 {
    // Finalizer of splitmix64, since callers may number their jobs.
    let mut mixed = id.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}
