mod advice;
mod copies;
mod ends;
mod gangs;
mod holds;
mod loads;
mod placing;
mod reach;
mod records;
mod relocation;
mod runs;
mod waiting;
mod watching;

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;

pub use records::RecordBatch;

use super::estimate_ratio::EstimateRatio;
use super::job_entry::JobEntry;
use super::record_queue::RecordQueue;
use super::ticket_cache::TicketCache;
use super::worker_entry::WorkerEntry;
use super::{
    DispatchPolicy, FleetRules, JobId, JobOrder, JobPhase, JobRecord, ResourceAmount, StepName,
    WorkerKey, WorkerOrder, WorkerReport,
};
use crate::ids::{InstanceName, PoolName, QueueName, TeamName};
use crate::time::TimePoint;

/// Run numbers that one epoch may use for a task. A later owner starts above them.
const RUNS_PER_EPOCH: u64 = 1_000;

/// Decides which task runs where, under one ownership epoch.
#[derive(Debug)]
pub struct JobDispatcher {
    policy: DispatchPolicy,
    rules: Arc<FleetRules>,
    /// Run numbers of this epoch lie above this one.
    first_run: u64,
    /// When this owner took over.
    taken: TimePoint,
    /// Until when an earlier owner's leases may last.
    inherited_until: TimePoint,
    /// Workers that were out of the earlier owner's reach.
    out_of_reach: HashMap<InstanceName, reach::UnreachedRuns>,
    jobs: HashMap<JobId, JobEntry>,
    arrivals: HashMap<JobId, TimePoint>,
    workers: SlotMap<WorkerKey, WorkerEntry>,
    names: HashMap<InstanceName, WorkerKey>,
    /// Workers that the inventory showed as up when it was first read under this epoch, with their
    /// pools; none before.
    expected: Option<HashMap<InstanceName, PoolName>>,
    recent: VecDeque<loads::WorkArrival>,
    ratios: HashMap<PoolName, EstimateRatio>,
    usage: HashMap<TeamName, ResourceAmount>,
    tickets: HashMap<StepName, TicketCache>,
    /// Jobs whose end is stored. A table that is read while a job ends still shows it.
    ended: HashSet<JobId>,
    /// When their records expire, in order.
    expiring: VecDeque<(TimePoint, JobId)>,
    /// Jobs whose records are not stored yet.
    dirty: RecordQueue,
    orders: Vec<WorkerOrder>,
}

impl JobDispatcher {
    /// Creates a dispatcher for ownership epoch `epoch`, counted from 1.
    #[must_use]
    pub fn new(policy: DispatchPolicy, rules: Arc<FleetRules>, epoch: u64, now: TimePoint) -> Self {
        let lease = policy.max_lease.mul_f64(1.0 + policy.max_clock_drift);
        Self {
            taken: now,
            inherited_until: now.after(lease),
            policy,
            rules,
            first_run: epoch.saturating_sub(1) * RUNS_PER_EPOCH,
            out_of_reach: HashMap::new(),
            jobs: HashMap::new(),
            arrivals: HashMap::new(),
            workers: SlotMap::with_key(),
            names: HashMap::new(),
            expected: None,
            recent: VecDeque::new(),
            ratios: HashMap::new(),
            usage: HashMap::new(),
            tickets: HashMap::new(),
            ended: HashSet::new(),
            expiring: VecDeque::new(),
            dirty: RecordQueue::default(),
            orders: Vec::new(),
        }
    }

    /// Notes that the earlier owner may have gone on for `extension` after this one took over.
    #[must_use]
    pub const fn with_takeover_overlap(mut self, extension: Duration) -> Self {
        self.inherited_until = self.inherited_until.after(extension);
        self
    }

    /// Replaces the rules.
    pub fn set_rules(&mut self, rules: Arc<FleetRules>) {
        self.rules = rules;
    }

    /// Adds a job; a known one stays as it is, also one that has ended.
    ///
    /// `is_inherited` says that an earlier owner may have started tasks of it.
    pub fn add_job(
        &mut self,
        id: JobId,
        order: JobOrder,
        record: JobRecord,
        is_inherited: bool,
        arrived: TimePoint,
    ) -> bool {
        let is_known = self.jobs.contains_key(&id) || self.ended.contains(&id);
        if record.phase.is_final() || is_known {
            return false;
        }
        let mut job = JobEntry::new(id, order, record, is_inherited);
        if job.order.schedule.is_none() && job.occurrences.is_empty() {
            job.open_occurrence();
        }
        self.note_arrival(&job.order, arrived);
        self.jobs.insert(id, job);
        self.arrivals.insert(id, arrived);
        true
    }

    /// Cancels a job; true if it is known and has not ended.
    pub fn cancel_job(&mut self, id: JobId) -> bool {
        let is_open = self.jobs.get(&id).is_some_and(|job| !job.phase.is_final());
        if !is_open {
            return false;
        }
        self.end_job(id, JobPhase::Cancelled);
        true
    }

    /// Gives a job its final phase and stops its runs.
    fn end_job(&mut self, id: JobId, phase: JobPhase) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.phase = phase;
        for occurrence in &mut job.occurrences {
            for task in occurrence.steps.iter_mut().flat_map(|step| &mut step.tasks) {
                for run in &mut task.runs {
                    run.request_stop();
                }
            }
        }
        self.dirty.insert(id, true);
    }

    /// Adds a worker of the platform's list, or takes over what the list says of it now.
    ///
    /// Returns its key and whether calls to it have to begin anew: it is new, it was started
    /// again, or it has another address.
    pub fn set_worker(&mut self, report: WorkerReport, now: TimePoint) -> (WorkerKey, bool) {
        if let Some(&key) = self.names.get(&report.name) {
            let entry = &mut self.workers[key];
            let moved = entry.report.address != report.address || entry.report.boot != report.boot;
            let was_listed = entry.is_listed;
            entry.report = report;
            entry.is_listed = true;
            if moved {
                self.forget_boot(key, now);
            }
            return (key, moved || !was_listed);
        }
        let name = report.name.clone();
        let mut entry = WorkerEntry::new(report, self.inherited_until);
        // The stored publication is that of the earlier owner until this one has stored its own.
        entry.is_published = self.out_of_reach.contains_key(&name);
        let key = self.workers.insert(entry);
        self.names.insert(name, key);
        (key, true)
    }

    /// Notes that the platform's list no longer has a worker. Its runs count until they are
    /// settled or their lease has passed.
    pub fn unlist_worker(&mut self, name: &InstanceName) -> Option<WorkerKey> {
        let key = *self.names.get(name)?;
        self.workers[key].is_listed = false;
        Some(key)
    }

    /// Workers that the list shows, or that may still run something.
    #[must_use]
    pub fn worker_names(&self) -> Vec<InstanceName> {
        let listed = self.workers.values().filter(|entry| entry.is_listed);
        listed.map(|entry| entry.report.name.clone()).collect()
    }

    /// What the list says of a worker.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerReport> {
        self.workers.get(key).map(|entry| &entry.report)
    }

    /// Key of a listed worker.
    #[must_use]
    pub fn worker_key(&self, name: &InstanceName) -> Option<WorkerKey> {
        let key = *self.names.get(name)?;
        self.workers[key].is_listed.then_some(key)
    }

    /// Highest end of a worker that is stored.
    #[must_use]
    pub fn stored_end(&self, key: WorkerKey) -> u64 {
        self.workers.get(key).map_or(0, |entry| entry.stored_end)
    }

    /// Highest end of a worker that was processed.
    #[must_use]
    pub fn processed_end(&self, key: WorkerKey) -> u64 {
        self.workers.get(key).map_or(0, |entry| entry.processed_end)
    }

    /// Whether a worker listed ends that are not stored yet.
    #[must_use]
    pub fn has_unstored_ends(&self, key: WorkerKey) -> bool {
        self.processed_end(key) > self.stored_end(key)
    }

    /// Whether nothing runs on a worker, nor may begin.
    #[must_use]
    pub fn is_idle(&self, key: WorkerKey) -> bool {
        self.workers
            .get(key)
            .is_none_or(|entry| entry.runs.is_empty())
    }

    /// Number of jobs by queue for which no task has started. Jobs with a schedule do not count.
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

    /// Jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        let open = self.jobs.values().filter(|job| !job.phase.is_final());
        open.count()
    }

    /// Phase of a job, as far as it is known here.
    #[must_use]
    pub fn phase(&self, id: JobId) -> Option<JobPhase> {
        self.jobs.get(&id).map(|job| job.phase)
    }

    fn pool_of(&self, queue: &QueueName) -> Option<&PoolName> {
        self.rules.queues.get(queue).map(|rule| &rule.pool)
    }
}
