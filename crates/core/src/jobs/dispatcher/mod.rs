mod abandoned_tasks;
mod advice;
mod demand_forecast;
mod gangs;
mod hold_reports;
mod inherited_use;
mod late_jobs;
mod late_runs;
mod left_work;
mod list_gap;
mod overload;
mod overload_demand;
mod overload_wait;
mod placement;
mod placement_wait;
mod planning;
mod pool_loads;
mod rack_outlooks;
mod records;
mod relocation;
mod relocation_targets;
mod removed_rules;
mod replacement;
mod reservations;
mod run_ends;
mod runs;
mod speculative_copies;
mod suspect_plans;
mod suspect_starts;
mod suspects;
mod unreachable_workers;
mod unread_jobs;
mod waiting_steps;
mod worker_index;
mod worker_links;
mod zone_evacuation;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

pub use abandoned_tasks::AbandonedTask;
pub use overload::OverloadChange;
pub use records::{CoveredEnd, RecordBatch, WriteLimit};
pub use unread_jobs::KeptCounts;

use super::advice_backlog::AdviceBacklog;
use super::crash_history::CrashHistory;
use super::estimate_ratio::EstimateRatio;
use super::job_entry::JobEntry;
use super::record_queue::RecordQueue;
use super::ticket_cache::TicketCache;
use super::worker_entry::WorkerEntry;
use super::{
    DispatchPolicy, FleetRules, JobId, JobOrder, JobPhase, JobRecord, LostRun, ResourceAmount,
    StepName, TaskName, WorkerKey, WorkerOrder, WorkerReport,
};
use crate::ids::{InstanceName, PoolName, QueueName, TeamName, ZoneName};
use crate::time::TimePoint;

/// Number of run numbers reserved for each task per epoch. The next epoch starts above them.
const RUNS_PER_EPOCH: u64 = 1_000;

/// Assigns tasks to workers during one ownership epoch.
#[derive(Debug)]
pub struct JobDispatcher {
    policy: DispatchPolicy,
    rules: Arc<FleetRules>,
    epoch: u64,
    /// Number of the newest link to any worker.
    last_link: u64,
    /// Run numbers of this epoch are greater than this.
    run_number_base: u64,
    takeover_time: TimePoint,
    /// Time until which the previous owner may start tasks of new jobs.
    overlap_end: TimePoint,
    /// Latest time at which a lease that a previous owner granted ends.
    inherited_lease_end: TimePoint,
    /// Unreachable workers that the previous owner published.
    inherited_unreachable: HashMap<InstanceName, unreachable_workers::InheritedRuns>,
    jobs: HashMap<JobId, JobEntry>,
    arrival_times: HashMap<JobId, TimePoint>,
    /// Jobs that may have runs to stop. Their stop orders are sent in the planning rounds.
    stopping_jobs: BTreeSet<JobId>,
    workers: SlotMap<WorkerKey, WorkerEntry>,
    keys_by_name: HashMap<InstanceName, WorkerKey>,
    list_age: list_gap::ListAge,
    /// Availability zones in which nothing more may start.
    evacuated_zones: BTreeSet<ZoneName>,
    /// Newest worker of each instance.
    keys_by_instance: HashMap<InstanceName, WorkerKey>,
    /// Workers that have been up since the inventory was first read under this epoch, with their
    /// pools; `None` before the first reading.
    inherited_workers: Option<HashMap<InstanceName, PoolName>>,
    recent_arrivals: VecDeque<pool_loads::WorkArrival>,
    estimate_ratios: HashMap<PoolName, EstimateRatio>,
    team_usage: HashMap<TeamName, ResourceAmount>,
    /// What teams may use on workers that this owner has no list of, in this round.
    inherited_use: HashMap<TeamName, ResourceAmount>,
    tickets: HashMap<StepName, TicketCache>,
    advice_backlog: AdviceBacklog,
    reservations: reservations::ReservationTable,
    placement_waits: placement_wait::PlacementWaits,
    overload: overload::OverloadState,
    /// Jobs whose end is stored. A read of the job table that overlaps with the end of a job may
    /// still return the job as open.
    ended_jobs: HashSet<JobId>,
    /// Expiry times of the records of ended jobs, in ascending order.
    expiry_queue: VecDeque<(TimePoint, JobId)>,
    /// Jobs whose records are not stored yet.
    dirty: RecordQueue,
    /// Jobs that have ended because their record exceeds a write, with its size, since they were last
    /// taken.
    oversized_jobs: Vec<(JobId, usize)>,
    orders: Vec<WorkerOrder>,
    /// Runs that were lost since they were last taken.
    lost_runs: Vec<LostRun>,
    /// Tasks that were implicated in crashes of workers.
    suspects: BTreeMap<TaskName, CrashHistory>,
    /// Numbers of suspects that are about to start on workers, in this round.
    planned_starts: HashMap<WorkerKey, usize>,
    /// Maximum numbers of suspects that start on a worker of each pool at the same time, in this
    /// round.
    suspect_limits: HashMap<PoolName, usize>,
    /// Tasks that were given up since they were last taken.
    abandoned_tasks: Vec<AbandonedTask>,
    unread: unread_jobs::UnreadJobs,
    late_jobs: late_jobs::LateJobs,
}

impl JobDispatcher {
    /// Creates a dispatcher for the ownership epoch `epoch`, which counts from 1.
    #[must_use]
    pub fn new(policy: DispatchPolicy, rules: Arc<FleetRules>, epoch: u64, now: TimePoint) -> Self {
        // Calls of the previous owner may be on their way. Workers shorten a longer lease by their own
        // clock, however old the reading was.
        let lease = policy.call_time.saturating_add(policy.longest_grant());
        Self {
            takeover_time: now,
            overlap_end: now,
            inherited_lease_end: now.after(lease),
            policy,
            rules,
            epoch,
            last_link: 0,
            run_number_base: epoch.saturating_sub(1) * RUNS_PER_EPOCH,
            inherited_unreachable: HashMap::new(),
            jobs: HashMap::new(),
            arrival_times: HashMap::new(),
            stopping_jobs: BTreeSet::new(),
            workers: SlotMap::with_key(),
            keys_by_name: HashMap::new(),
            list_age: list_gap::ListAge::default(),
            evacuated_zones: BTreeSet::new(),
            keys_by_instance: HashMap::new(),
            inherited_workers: None,
            recent_arrivals: VecDeque::new(),
            estimate_ratios: HashMap::new(),
            team_usage: HashMap::new(),
            inherited_use: HashMap::new(),
            tickets: HashMap::new(),
            advice_backlog: AdviceBacklog::default(),
            reservations: reservations::ReservationTable::default(),
            placement_waits: placement_wait::PlacementWaits::default(),
            overload: overload::OverloadState::default(),
            ended_jobs: HashSet::new(),
            expiry_queue: VecDeque::new(),
            dirty: RecordQueue::default(),
            oversized_jobs: Vec::new(),
            orders: Vec::new(),
            lost_runs: Vec::new(),
            suspects: BTreeMap::new(),
            planned_starts: HashMap::new(),
            suspect_limits: HashMap::new(),
            abandoned_tasks: Vec::new(),
            unread: unread_jobs::UnreadJobs::default(),
            late_jobs: late_jobs::LateJobs::default(),
        }
    }

    /// Extends the inherited leases by `overlap`, for which the previous owner may have continued
    /// after the takeover.
    #[must_use]
    pub const fn with_takeover_overlap(mut self, overlap: Duration) -> Self {
        self.inherited_lease_end = self.inherited_lease_end.after(overlap);
        self
    }

    /// Treats jobs that arrive within `overlap` of the takeover as inherited, because the previous
    /// owner still starts tasks of new jobs.
    #[must_use]
    pub const fn with_arrival_overlap(mut self, overlap: Duration) -> Self {
        self.overlap_end = self.takeover_time.after(overlap);
        self
    }

    /// Adds a job and returns true, or returns false if the job has ended or is already known.
    ///
    /// `is_inherited` is true if the previous owner may have started tasks of the job before the
    /// takeover.
    pub fn add_job(
        &mut self,
        id: JobId,
        order: JobOrder,
        record: JobRecord,
        is_inherited: bool,
        arrived: TimePoint,
    ) -> bool {
        let is_known = self.jobs.contains_key(&id) || self.ended_jobs.contains(&id);
        if record.phase.is_final() || is_known {
            return false;
        }
        let may_be_started = is_inherited || arrived < self.overlap_end;
        self.keep_accepted_rules(&order);
        self.load_crashes(id, &record.crashes);
        let mut job = JobEntry::new(id, order, record, may_be_started);
        if job.order.schedule.is_none() && job.occurrences.is_empty() {
            job.open_occurrence();
        }
        self.note_arrival(&job.order, arrived);
        if self.policy.defers_overload {
            self.overload.note_job(&job.order);
        }
        self.jobs.insert(id, job);
        self.arrival_times.insert(id, arrived);
        true
    }

    /// Cancels a job. Returns false if the job is unknown or has ended.
    pub fn cancel_job(&mut self, id: JobId) -> bool {
        let is_open = self.jobs.get(&id).is_some_and(|job| !job.phase.is_final());
        if !is_open {
            return false;
        }
        self.end_job(id, JobPhase::Cancelled);
        true
    }

    /// Sets the final phase of a job and requests a stop of all its runs.
    fn end_job(&mut self, id: JobId, phase: JobPhase) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = phase;
        let mut is_stopping = false;
        for occurrence in &mut job.occurrences {
            for task in occurrence.steps.iter_mut().flat_map(|step| &mut step.tasks) {
                for run in &mut task.runs {
                    is_stopping |= run.request_stop();
                }
            }
        }
        if is_stopping {
            self.stopping_jobs.insert(id);
        }
        self.dirty.insert(id, true);
    }

    /// Adds a worker from the platform's list, or updates it.
    ///
    /// Returns its key and whether calls to it must be set up again, because it is new to the list,
    /// was restarted, or has another address.
    pub fn set_worker(&mut self, report: WorkerReport, now: TimePoint) -> (WorkerKey, bool) {
        if let Some(&key) = self.keys_by_name.get(&report.name) {
            let entry = &self.workers[key];
            let is_restarted = entry.is_restart(report.boot);
            let is_moved = entry.report.address != report.address;
            let was_listed = entry.is_listed;
            if is_restarted {
                self.reset_worker(key, report.boot, now);
                self.workers[key].unread_runs.clear();
            }
            let entry = &mut self.workers[key];
            entry.set_report(report);
            entry.is_listed = true;
            // Calls to the worker are set up again, and none has been answered yet.
            entry.is_unresponsive |= is_moved || !was_listed;
            self.note_entry(key, now);
            let is_renewed = is_restarted || is_moved || !was_listed;
            if is_renewed {
                self.renew_link(key);
            }
            return (key, is_renewed);
        }
        let name = report.name.clone();
        // Calls of the previous owner that are on their way extend a lease only after an unnoticed
        // restart; otherwise they name its end on the clock of the worker.
        let lease_end = self.inherited_lease_end.before(self.policy.call_time);
        let mut entry = WorkerEntry::new(report, lease_end);
        entry.unnoticed_lease_end = self.inherited_lease_end;
        // Until this owner stores its own publication, the previous owner's is in force.
        entry.is_published = self.inherited_unreachable.contains_key(&name);
        let key = self.workers.insert(entry);
        self.keys_by_name.insert(name, key);
        self.note_entry(key, now);
        self.renew_link(key);
        self.settle_instance(key, now);
        (key, true)
    }

    /// Applies the list entry of a worker to what its use depends on.
    fn note_entry(&mut self, key: WorkerKey, now: TimePoint) {
        let entry = &mut self.workers[key];
        entry.cold_until = now.after(entry.report.warm_up);
        entry.is_zone_evacuated = self.evacuated_zones.contains(&entry.report.zone);
    }

    /// Marks a worker as no longer in the platform's list. Its runs stay allocated until they are
    /// resolved or their lease has expired.
    pub fn unlist_worker(&mut self, name: &InstanceName) -> Option<WorkerKey> {
        let key = *self.keys_by_name.get(name)?;
        self.workers[key].is_listed = false;
        Some(key)
    }

    /// Returns the names of the listed workers.
    #[must_use]
    pub fn worker_names(&self) -> Vec<InstanceName> {
        let listed = self.workers.values().filter(|entry| entry.is_listed);
        listed.map(|entry| entry.report.name.clone()).collect()
    }

    /// Returns the list entry of a worker.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerReport> {
        self.workers.get(key).map(|entry| &entry.report)
    }

    /// Returns the key of a worker if it is listed.
    #[must_use]
    pub fn worker_key(&self, name: &InstanceName) -> Option<WorkerKey> {
        let key = *self.keys_by_name.get(name)?;
        self.workers[key].is_listed.then_some(key)
    }

    /// Highest number of a run end of the worker that is stored; 0 if there is none.
    #[must_use]
    pub fn stored_end(&self, key: WorkerKey) -> u64 {
        self.workers.get(key).map_or(0, |entry| entry.stored_end)
    }

    /// Highest number of a run end of the worker that was processed; 0 if there is none.
    #[must_use]
    pub fn processed_end(&self, key: WorkerKey) -> u64 {
        self.workers.get(key).map_or(0, |entry| entry.processed_end)
    }

    /// Whether a worker has reported run ends that are not stored yet.
    #[must_use]
    pub fn has_unstored_ends(&self, key: WorkerKey) -> bool {
        self.processed_end(key) > self.stored_end(key)
    }

    /// Whether the newest list of a worker was cut short. Nothing starts there until one includes all
    /// ends.
    #[must_use]
    pub fn is_list_cut(&self, key: WorkerKey) -> bool {
        self.workers.get(key).is_some_and(|entry| entry.is_list_cut)
    }

    /// Whether a worker has no runs, not even unconfirmed ones. An unknown worker is idle.
    #[must_use]
    pub fn is_idle(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_none_or(|entry| entry.runs.is_empty() && entry.unread_runs.is_empty())
    }

    /// Returns, by queue, the number of jobs without a started task. Jobs with a schedule do not
    /// count.
    #[must_use]
    pub fn pending(&self) -> HashMap<QueueName, u64> {
        let mut counts = HashMap::new();
        for job in self.jobs.values() {
            if job.order.schedule.is_none() && job.is_unstarted() {
                *counts.entry(job.order.queue.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        let open = self.jobs.values().filter(|job| !job.phase.is_final());
        open.count()
    }

    /// Takes the runs that were lost since the last call.
    pub fn take_lost_runs(&mut self) -> Vec<LostRun> {
        std::mem::take(&mut self.lost_runs)
    }

    /// Returns the phase of a job, or `None` if the dispatcher does not have the job.
    #[must_use]
    pub fn phase(&self, id: JobId) -> Option<JobPhase> {
        self.jobs.get(&id).map(|job| job.phase)
    }

    fn pool_of(&self, queue: &QueueName) -> Option<&PoolName> {
        self.rules.queues.get(queue).map(|rule| &rule.pool)
    }
}
