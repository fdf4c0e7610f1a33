use std::time::Duration;

use sesamedeal_core::time::TimePoint;

/// Length of a bucket.
pub(super) const BUCKET: Duration = Duration::from_millis(500);

/// Buckets in one window of 10 s.
pub(super) const WINDOW: usize = 20;

/// Slot time of the teams of one pool in one bucket.
#[derive(Debug, Clone)]
struct UsageBucket {
    slot_seconds: Vec<f64>,
    is_backlogged: bool,
}

/// Slot time of the teams of one pool over time.
#[derive(Debug, Clone)]
pub(super) struct UsageRecord {
    weights: Vec<f64>,
    buckets: Vec<UsageBucket>,
}

impl UsageRecord {
    /// Creates a record for teams of these weights; a team without callers has weight 0.
    pub(super) const fn new(weights: Vec<f64>) -> Self {
        Self {
            weights,
            buckets: Vec::new(),
        }
    }

    /// Number of the bucket of a point.
    pub(super) fn bucket_at(at: TimePoint) -> usize {
        usize::try_from(at.since_origin().as_millis() / BUCKET.as_millis()).unwrap_or(usize::MAX)
    }

    /// Adds a step that ends at `now`: slots held and jobs queued per team.
    pub(super) fn add(&mut self, now: TimePoint, step: Duration, held: &[u32], queued: &[u32]) {
        let at = Self::bucket_at(TimePoint::new(now.since_origin().saturating_sub(step)));
        if self.buckets.len() <= at {
            let bucket = UsageBucket {
                slot_seconds: vec![0.0; self.weights.len()],
                is_backlogged: true,
            };
            self.buckets.resize(at + 1, bucket);
        }
        let bucket = &mut self.buckets[at];
        for (team, held) in held.iter().enumerate() {
            bucket.slot_seconds[team] += f64::from(*held) * step.as_secs_f64();
            bucket.is_backlogged &= self.weights[team] == 0.0 || queued[team] > 0;
        }
    }

    /// Largest deviation of a team from its share over the window that starts at a bucket, as a
    /// signed part of its share, with the team. `None` when a team was not backlogged at some
    /// point of the window.
    pub(super) fn deviation(&self, first: usize) -> Option<(f64, usize)> {
        let window = self.buckets.get(first..first + WINDOW)?;
        if !window.iter().all(|bucket| bucket.is_backlogged) {
            return None;
        }
        let used: Vec<f64> = (0..self.weights.len())
            .map(|team| window.iter().map(|bucket| bucket.slot_seconds[team]).sum())
            .collect();
        let total: f64 = used.iter().sum();
        let weight: f64 = self.weights.iter().sum();
        let teams = used.iter().zip(&self.weights).enumerate();
        teams
            .filter(|(_, (_, own))| **own > 0.0)
            .map(|(team, (used, own))| (used / (total * own / weight) - 1.0, team))
            .max_by(|one, other| one.0.abs().total_cmp(&other.0.abs()))
    }

    /// Slots held on average from a bucket to the end.
    pub(super) fn mean_held(&self, first: usize) -> f64 {
        let buckets = &self.buckets[first.min(self.buckets.len())..];
        let used: f64 = buckets.iter().flat_map(|bucket| &bucket.slot_seconds).sum();
        used / (buckets.len().max(1) as f64 * BUCKET.as_secs_f64())
    }
}
