//! What teams may use for runs that a previous owner has started on workers that this owner has no list
//! of. The runs are not allocated, and the limits of their teams hold for them all the same.

use std::collections::{HashMap, HashSet};

use super::JobDispatcher;
use crate::ids::{PoolName, TeamName};
use crate::jobs::job_entry::JobEntry;
use crate::jobs::{ResourceAmount, StepName, TaskName};
use crate::time::TimePoint;

/// Capacity of the workers of a pool that may have runs of which nothing is known; none if there may be
/// workers that are not listed.
type HiddenCapacity = Option<ResourceAmount>;

impl JobDispatcher {
    /// Updates what teams with a limit may use on workers that this owner has no list of.
    pub(super) fn update_inherited_use(&mut self, now: TimePoint) {
        let mut uses = HashMap::new();
        let mut counted = HashSet::new();
        self.add_published_use(&mut uses, &mut counted, now);
        self.add_hidden_use(&mut uses, &counted, now);
        for (team, used) in &mut uses {
            *used = self.left_of_limit(team, *used);
        }
        self.inherited_use = uses;
    }

    /// Adds the tasks that the previous owner has published with their workers.
    fn add_published_use(
        &self,
        uses: &mut HashMap<TeamName, ResourceAmount>,
        counted: &mut HashSet<TaskName>,
        now: TimePoint,
    ) {
        for (name, runs) in &self.inherited_unreachable {
            let key = self.keys_by_name.get(name);
            let is_listed = key.is_some_and(|key| self.workers[*key].is_list_whole);
            if is_listed || now >= runs.lease_end {
                continue;
            }
            for &task in &runs.tasks {
                let is_open = self.task(task).is_some_and(|entry| !entry.is_done);
                let team = self.jobs.get(&task.step.job);
                let team = team.and_then(|job| job.order.team.as_ref());
                if let (true, Some(team), Some(spec)) = (is_open, team, self.step_spec(task))
                    && counted.insert(task)
                {
                    *uses.entry(team.clone()).or_default() += spec.amount;
                }
            }
        }
    }

    /// Adds the waiting tasks that may run on workers of which nothing was published, as far as these
    /// have room.
    fn add_hidden_use(
        &self,
        uses: &mut HashMap<TeamName, ResourceAmount>,
        counted: &HashSet<TaskName>,
        now: TimePoint,
    ) {
        let hidden = self.hidden_capacities(now);
        if hidden.is_empty() {
            return;
        }
        let mut sums: HashMap<(&TeamName, &PoolName), ResourceAmount> = HashMap::new();
        let open = self.jobs.values().filter(|job| !job.phase.is_final());
        for job in open.filter(|job| job.is_inherited) {
            let team = job.order.team.as_ref().filter(|team| self.has_limit(team));
            let pools = [self.pool_of(&job.order.queue), job.accepted_pool()];
            let mut pools = pools.into_iter().flatten();
            if let (Some(team), Some(pool)) = (team, pools.find(|pool| hidden.contains_key(pool))) {
                let sum = sums.entry((team, pool)).or_default();
                *sum += unsettled_use(job, counted, now);
            }
        }
        for ((team, pool), sum) in sums {
            let capacity = hidden.get(pool).copied().flatten();
            let used = capacity.map_or(sum, |capacity| sum.min_each(capacity));
            *uses.entry(team.clone()).or_default() += used;
        }
    }

    /// Pools with workers that may have runs of which nothing was published.
    fn hidden_capacities(&self, now: TimePoint) -> HashMap<&PoolName, HiddenCapacity> {
        let mut hidden: HashMap<&PoolName, HiddenCapacity> = HashMap::new();
        for entry in self.workers.values() {
            let name = &entry.report.name;
            if !self.may_lack_runs(entry, now) || self.inherited_unreachable.contains_key(name) {
                continue;
            }
            let capacity = hidden.entry(&entry.report.pool).or_default();
            let capacity = capacity.get_or_insert_default();
            *capacity += entry.report.capacity;
        }
        if now < self.inherited_lease_end {
            let pools = self.rules.pools.keys();
            hidden.extend(
                pools
                    .filter(|pool| self.may_have_unlisted_worker(pool))
                    .map(|pool| (pool, None)),
            );
        }
        hidden
    }

    fn has_limit(&self, team: &TeamName) -> bool {
        let rule = self.rules.teams.get(team);
        rule.is_some_and(|rule| !rule.limit.is_zero())
    }
}

/// Resources of the waiting tasks of a job that a previous owner may have started.
fn unsettled_use(job: &JobEntry, counted: &HashSet<TaskName>, now: TimePoint) -> ResourceAmount {
    let mut sum = ResourceAmount::default();
    for occurrence in job.due() {
        for (step, number) in occurrence.steps.iter().zip(0..) {
            if step.remaining == 0 || !job.is_step_ready(occurrence.number, number) {
                continue;
            }
            let spec = &job.order.steps[usize::from(number)];
            let name = StepName {
                job: job.id,
                occurrence: occurrence.number,
                step: number,
            };
            for (task, index) in step.tasks.iter().zip(0..) {
                let may_run = task.is_waiting(now) && !task.is_settled;
                if may_run && !counted.contains(&name.task(index)) {
                    sum += spec.amount;
                }
            }
        }
    }
    sum
}
