use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::queue_sizes::{QueueScale, draw};
use super::{JobId, JobOrder, QueueRule, USEFUL_MULTIPLE};
use crate::ids::{QueueName, TeamName};

/// What an entry instance needs to tell that a new job of a queue cannot end while its result is of
/// use. Published by the owner for the queues of overloaded pools.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueOverload {
    /// The queue.
    pub queue: QueueName,
    /// Time for which the jobs that can still end while of use occupy the whole capacity, including
    /// the instances of the spare pool, in milliseconds.
    pub wait_ms: u64,
    /// Declared work per value up to which a new job would take the place of another one, in core
    /// milliseconds.
    pub work_per_value: u64,
    /// Sizes of the queue's jobs.
    pub scale: QueueScale,
    /// Teams that demand more than their share of the pool. Jobs of other teams take the place of
    /// theirs.
    pub teams: Vec<TeamName>,
    /// Whether all jobs of the queue's pool compete as one, without teams.
    pub is_teamless: bool,
}

impl QueueOverload {
    /// Returns the time after which capacity is expected if a new job cannot end while its result is
    /// of use; `None` if it may be served.
    ///
    /// The time until which the result is of use counts from now, since the request does not tell
    /// whether the job was submitted before. Scheduled and long-running jobs are always accepted.
    #[must_use]
    pub fn rejection(&self, id: JobId, order: &JobOrder, rule: &QueueRule) -> Option<Duration> {
        let is_batch = |step: &super::StepSpec| !step.is_lasting && !step.is_filler;
        if order.schedule.is_some() || !order.steps.iter().all(is_batch) {
            return None;
        }
        let is_counted = order
            .team
            .as_ref()
            .map_or(self.is_teamless, |team| self.teams.contains(team));
        let work = order.batch_work();
        let is_kept = self.scale.is_kept(work, draw(id));
        if !is_counted || is_kept || self.scale.work_per_value(work) <= self.work_per_value {
            return None;
        }
        let limit = rule
            .objective(order.critical_path())
            .saturating_mul(USEFUL_MULTIPLE);
        let wait = Duration::from_millis(self.wait_ms);
        // The whole limit counts as time to wait, since declared run times may be far too long.
        (wait > limit).then_some(wait)
    }
}
