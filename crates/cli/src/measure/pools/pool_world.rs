use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{
    DispatchPolicy, JobDispatcher, JobId, JobPhase, JobRecord, PoolLoad, StartOutcome, WorkerKey,
    WorkerOrder,
};
use sesamedeal_core::time::TimePoint;

use super::demand_family::{DemandCurve, DemandFamily};
use super::fleet_plan::FleetPlan;
use super::pool_figures::{DayTotals, PoolFigures};
use super::sim_instance::SimInstance;
use super::sim_job::{SimJob, draw_jobs, long_running_job};
use super::sizing_rule::{RunningRule, SizingRule};
use super::world_trouble::{LEAD_MS, WorldTrouble};

/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 50;

/// Time of a day in which jobs arrive, in milliseconds.
const DAY_MS: u64 = 36_000;

/// Time after that in which jobs may end, in milliseconds.
const TAIL_MS: u64 = 12_000;

/// Time from the arrival of a job until the dispatcher knows it, in milliseconds.
const NOTICE_MS: u64 = 150;

/// Interval between scaling decisions, in milliseconds.
const DECISION_MS: u64 = 200;

/// Interval between hold calls to an instance with tasks, in milliseconds.
const HOLD_MS: u64 = 500;

/// Lease that a hold call extends.
const LEASE: Duration = Duration::from_millis(4_800);

/// Rows of a write of job records.
const WRITE_ROWS: usize = 72;

/// Simulates a day and returns its figures.
#[must_use]
pub fn simulate(
    plan: &FleetPlan,
    family: DemandFamily,
    rule: &SizingRule,
    trouble: &WorldTrouble,
    seed: u64,
) -> PoolFigures {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let curve = DemandCurve::new(family, plan.pools.len(), DAY_MS, &mut random);
    let mut jobs = draw_jobs(plan, &curve, DAY_MS, &mut random);
    for job in &mut jobs {
        job.arrives_ms += LEAD_MS;
    }
    let rule = RunningRule::new(rule, plan, &jobs, LEAD_MS + DAY_MS + TAIL_MS);
    PoolWorld::new(plan, jobs, trouble, rule).run()
}

/// Fleet with its dispatcher and its jobs.
pub(super) struct PoolWorld<'a> {
    pub(super) plan: &'a FleetPlan,
    pub(super) trouble: &'a WorldTrouble,
    pub(super) rule: RunningRule,
    pub(super) dispatcher: JobDispatcher,
    pub(super) instances: Vec<SimInstance>,
    pub(super) indexes: HashMap<WorkerKey, usize>,
    /// Batch jobs; the number of a job in its identifier is its index here.
    jobs: Vec<SimJob>,
    /// Number of jobs that the dispatcher has been told of.
    noticed: usize,
    /// Batch jobs that have not ended.
    open: Vec<usize>,
    pub(super) totals: DayTotals,
}

impl<'a> PoolWorld<'a> {
    fn new(
        plan: &'a FleetPlan,
        jobs: Vec<SimJob>,
        trouble: &'a WorldTrouble,
        rule: RunningRule,
    ) -> Self {
        let pools = plan.pools.iter().enumerate();
        let placed = pools.flat_map(|(pool, entry)| vec![Some(pool); entry.instances]);
        let spare = std::iter::repeat_n(None, plan.spare);
        let placed: Vec<Option<usize>> = placed.chain(spare).collect();
        let instances = (0..placed.len()).map(SimInstance::new).collect();
        let policy = DispatchPolicy::default();
        let mut dispatcher = JobDispatcher::new(policy, plan.rules(), 1, TimePoint::ORIGIN);
        let first = jobs.len();
        for (number, pool) in plan.pools.iter().enumerate() {
            let order = long_running_job(number, pool);
            let id = JobId(u64::try_from(first + number).unwrap_or(u64::MAX));
            dispatcher.add_job(id, order, JobRecord::new(), false, TimePoint::ORIGIN);
        }
        let mut world = Self {
            plan,
            trouble,
            rule,
            dispatcher,
            instances,
            indexes: HashMap::new(),
            jobs,
            noticed: 0,
            open: Vec::new(),
            totals: DayTotals::default(),
        };
        for (index, pool) in placed.into_iter().enumerate() {
            world.join(index, pool, 0);
        }
        world
    }

    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    fn run(mut self) -> PoolFigures {
        let end = LEAD_MS + DAY_MS + TAIL_MS;
        let mean_work = self.mean_work();
        for job in &self.jobs {
            let value = value(job, mean_work[job.pool]);
            self.totals.add_owed(value, job.arrives_ms);
            self.totals.work += job.work() as f64 / 1e6;
        }
        for now in (0..end).step_by(usize::try_from(STEP_MS).unwrap_or(usize::MAX)) {
            self.step(now, &mean_work);
        }
        let seconds = DAY_MS as f64 / 1_000.0;
        let cores = self.plan.capacity.cpu_millis as f64 / 1_000.0;
        self.totals.figures(seconds, cores)
    }

    fn step(&mut self, now: u64, mean_work: &[f64]) {
        self.place_arrivals(now);
        self.fail_instances(now);
        self.notice_jobs(now);
        for index in 0..self.instances.len() {
            self.instances[index].advance(now);
            self.hold(index, now);
        }
        let at = TimePoint::with_millis(now);
        if !self.trouble.is_store_silent(now) {
            let batch = self.dispatcher.take_records(WRITE_ROWS, now);
            self.dispatcher.note_stored(&batch, at);
        }
        for order in self.dispatcher.plan(at, now) {
            self.deliver(order, now);
        }
        self.end_jobs(now, mean_work);
        if now.is_multiple_of(DECISION_MS) {
            let loads = self.dispatcher.pool_loads(at);
            if is_day(now) {
                self.count_work(&loads);
            }
            if self.trouble.may_move(now) {
                self.scale(&loads, now);
            }
        }
        if is_day(now) {
            self.count_instances();
        }
    }

    /// Mean work of the jobs of each pool, in milliseconds of a thousandth of a core.
    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    fn mean_work(&self) -> Vec<f64> {
        let mean = |pool: usize| {
            let jobs = self.jobs.iter().filter(|job| job.pool == pool);
            let (count, work) =
                jobs.fold((0, 0), |(count, work), job| (count + 1, work + job.work()));
            work as f64 / f64::from(count.max(1))
        };
        (0..self.plan.pools.len()).map(mean).collect()
    }

    fn notice_jobs(&mut self, now: u64) {
        if self.trouble.is_store_silent(now) {
            return;
        }
        while let Some(job) = self.jobs.get(self.noticed)
            && job.arrives_ms + NOTICE_MS <= now
        {
            let id = JobId(u64::try_from(self.noticed).unwrap_or(u64::MAX));
            let arrived = TimePoint::with_millis(job.arrives_ms);
            self.dispatcher
                .add_job(id, job.order.clone(), JobRecord::new(), false, arrived);
            self.open.push(self.noticed);
            self.noticed += 1;
        }
    }

    /// Makes a hold call to an instance with ended tasks, or if one is due.
    fn hold(&mut self, index: usize, now: u64) {
        let instance = &self.instances[index];
        let is_due = now >= instance.held_ms + HOLD_MS || now < HOLD_MS;
        let is_busy = !instance.is_empty() || instance.has_ends() || now < HOLD_MS;
        if instance.has_ends() || (is_due && is_busy) {
            self.answer_hold(index, now);
        }
    }

    pub(super) fn answer_hold(&mut self, index: usize, now: u64) {
        let Some(key) = self.instances[index].key else {
            return;
        };
        let at = TimePoint::with_millis(now);
        self.dispatcher
            .note_extension(key, LEASE, Duration::ZERO, at);
        let stored = self.dispatcher.stored_end(key);
        let report = self.instances[index].hold(stored, now);
        self.dispatcher.note_hold(key, &report, at);
    }

    fn deliver(&mut self, order: WorkerOrder, now: u64) {
        let at = TimePoint::with_millis(now);
        match order {
            WorkerOrder::Start(key, order) => {
                let Some(&index) = self.indexes.get(&key) else {
                    let unknown = StartOutcome::Unknown;
                    self.dispatcher
                        .note_start(key, order.task, order.run, unknown, at);
                    return;
                };
                let job = usize::try_from(order.task.step.job.0).unwrap_or(usize::MAX);
                let length = self.jobs.get(job).map(|job| {
                    job.run_ms[usize::from(order.task.step.step)][usize::from(order.task.index)]
                });
                self.instances[index].start_run(order.task, order.run, now, length);
                let started = StartOutcome::Started;
                self.dispatcher
                    .note_start(key, order.task, order.run, started, at);
            }
            WorkerOrder::Stop(key, task, run) => {
                if let Some(&index) = self.indexes.get(&key) {
                    self.instances[index].stop_run(task, run);
                    self.dispatcher.note_stop(key, task, run, at);
                }
            }
            WorkerOrder::Pace(..) => {}
        }
    }

    /// Counts the jobs that have ended.
    fn end_jobs(&mut self, now: u64, mean_work: &[f64]) {
        let (jobs, dispatcher, totals) = (&self.jobs, &self.dispatcher, &mut self.totals);
        self.open.retain(|&number| {
            let id = JobId(u64::try_from(number).unwrap_or(u64::MAX));
            let is_open = dispatcher
                .phase(id)
                .is_some_and(|phase| !matches!(phase, JobPhase::Finished));
            if !is_open {
                let job = &jobs[number];
                let value = value(job, mean_work[job.pool]);
                let took = now - job.arrives_ms;
                if took <= job.objective_ms() {
                    totals.add_in_time(value, job.arrives_ms);
                } else if took <= job.objective_ms() * 3 {
                    totals.late += value;
                }
            }
            is_open
        });
    }

    #[expect(clippy::cast_precision_loss, reason = "instances are few")]
    fn count_instances(&mut self) {
        let paid = self.instances.iter();
        let paid = paid.filter(|instance| instance.paid_pool().is_some());
        self.totals.instance_seconds += paid.count() as f64 * STEP_MS as f64 / 1_000.0;
    }

    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    fn count_work(&mut self, loads: &BTreeMap<PoolName, PoolLoad>) {
        let seconds = DECISION_MS as f64 / 1_000.0;
        for (load, pool) in loads.values().zip(&self.plan.pools) {
            self.totals.waited += load.waiting as f64 / 1_000.0 * seconds;
            let tasks = f64::from(pool.long_running);
            self.totals.long_running += tasks;
            let running = load.long_running as f64 / pool.long_running_cpu.max(1) as f64;
            self.totals.long_running_at_work += running.min(tasks);
        }
    }
}

/// Whether jobs arrive at a time, in milliseconds.
pub(super) fn is_day(now: u64) -> bool {
    (LEAD_MS..LEAD_MS + DAY_MS).contains(&now)
}

/// Value of a job in core-seconds. It grows with its work, but a small job is worth more than its
/// share and a very large one less.
#[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
fn value(job: &SimJob, mean_work: f64) -> f64 {
    let size = job.work() as f64 / mean_work.max(1.0);
    mean_work * (0.3 + 0.7 * size).min(4.0) / 1e6
}
