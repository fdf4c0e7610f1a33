use std::collections::{BTreeMap, HashMap};
use std::ops::Range;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::ids::{InstanceName, PoolName};
use sesamedeal_core::jobs::{
    DispatchPolicy, FleetSize, JobDispatcher, JobId, JobPhase, JobRecord, PoolState, SizeChange,
    StartOutcome, WorkerKey, WorkerOrder,
};
use sesamedeal_core::time::TimePoint;

use super::demand_family::{DemandCurve, DemandFamily};
use super::fleet_plan::{FleetPlan, pool_name};
use super::pool_figures::{DayTotals, PoolFigures};
use super::scaling_rule::{RunningRule, SizingRule};
use super::sim_instance::{InstancePlace, SimInstance};
use super::sim_job::{SimJob, draw_jobs, long_running_job};

/// Length of a simulation step, in milliseconds.
const STEP_MS: u64 = 50;

/// Time of a day in which jobs arrive, in milliseconds.
const DAY_MS: u64 = 36_000;

/// Time after that in which jobs may end, in milliseconds.
const TAIL_MS: u64 = 12_000;

/// Time between the start of the instances and the first job, in milliseconds.
const LEAD_MS: u64 = 6_000;

/// Time from the arrival of a job until the dispatcher knows it, in milliseconds.
const NOTICE_MS: u64 = 150;

/// Interval between scaling decisions, in milliseconds.
const DECISION_MS: u64 = 200;

/// Time that an instance takes to move, in milliseconds.
const MOVE_MS: u64 = 1_500;

/// Interval between hold calls to an instance with tasks, in milliseconds.
const HOLD_MS: u64 = 500;

/// Lease that a hold call extends.
const LEASE: Duration = Duration::from_millis(4_800);

/// Rows of a write of job records.
const WRITE_ROWS: usize = 72;

/// Time after the start of an outage of the store from which an owner orders no moves, in
/// milliseconds.
const RENEWAL_LIMIT_MS: u64 = 1_500;

/// Trouble on a simulated day.
#[derive(Debug, Clone, Default)]
pub struct WorldTrouble {
    /// Time in which the store does not answer, in milliseconds from the first job.
    pub silent_store: Option<Range<u64>>,
    /// Time in which a tenth of the instances has failed, in milliseconds from the first job.
    pub failed_instances: Option<Range<u64>>,
}

impl WorldTrouble {
    fn is_store_silent(&self, now: u64) -> bool {
        let silence = self.silent_store.as_ref();
        silence.is_some_and(|time| now >= LEAD_MS && time.contains(&(now - LEAD_MS)))
    }

    /// Whether the owner may order moves.
    fn may_move(&self, now: u64) -> bool {
        !self.is_store_silent(now) || !self.is_store_silent(now.saturating_sub(RENEWAL_LIMIT_MS))
    }
}

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
struct PoolWorld<'a> {
    plan: &'a FleetPlan,
    trouble: &'a WorldTrouble,
    rule: RunningRule,
    dispatcher: JobDispatcher,
    instances: Vec<SimInstance>,
    indexes: HashMap<WorkerKey, usize>,
    /// Batch jobs; the number of a job in its identifier is its index here.
    jobs: Vec<SimJob>,
    /// Number of jobs that the dispatcher has been told of.
    noticed: usize,
    /// Batch jobs that have not ended.
    open: Vec<usize>,
    totals: DayTotals,
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
        let mut instances: Vec<SimInstance> = placed
            .chain(spare)
            .enumerate()
            .map(|(number, pool)| SimInstance::new(number, pool))
            .collect();
        let policy = DispatchPolicy::default();
        let mut dispatcher = JobDispatcher::new(policy, plan.rules(), 1, TimePoint::ORIGIN);
        let mut indexes = HashMap::new();
        for (index, instance) in instances.iter_mut().enumerate() {
            if let InstancePlace::Pool(Some(pool)) = instance.place {
                let report = instance.start_worker(pool, plan.capacity);
                let (key, _) = dispatcher.set_worker(report, TimePoint::ORIGIN);
                instance.key = Some(key);
                indexes.insert(key, index);
            }
        }
        let first = jobs.len();
        for (number, pool) in plan.pools.iter().enumerate() {
            let order = long_running_job(number, pool);
            let id = JobId(u64::try_from(first + number).unwrap_or(u64::MAX));
            dispatcher.add_job(id, order, JobRecord::new(), false, TimePoint::ORIGIN);
        }
        Self {
            plan,
            trouble,
            rule,
            dispatcher,
            instances,
            indexes,
            jobs,
            noticed: 0,
            open: Vec::new(),
            totals: DayTotals::default(),
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    fn run(mut self) -> PoolFigures {
        let end = LEAD_MS + DAY_MS + TAIL_MS;
        let mean_work = self.mean_work();
        for job in &self.jobs {
            self.totals.owed += value(job, mean_work[job.pool]);
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
        if now.is_multiple_of(DECISION_MS) && self.trouble.may_move(now) {
            self.scale(now);
        }
        if (LEAD_MS..LEAD_MS + DAY_MS).contains(&now) {
            self.count(now);
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

    /// Lets the instances that have arrived join their pools.
    fn place_arrivals(&mut self, now: u64) {
        for index in 0..self.instances.len() {
            match self.instances[index].place {
                InstancePlace::Moving(pool, until) | InstancePlace::Failed(pool, until)
                    if until <= now =>
                {
                    self.join(index, pool, now);
                }
                _ => {}
            }
        }
    }

    fn join(&mut self, index: usize, pool: Option<usize>, now: u64) {
        let instance = &mut self.instances[index];
        let Some(pool) = pool else {
            instance.place = InstancePlace::Pool(None);
            return;
        };
        let report = instance.start_worker(pool, self.plan.capacity);
        let at = TimePoint::with_millis(now);
        let (key, _) = self.dispatcher.set_worker(report, at);
        instance.key = Some(key);
        self.indexes.insert(key, index);
        self.answer_hold(index, now);
    }

    fn fail_instances(&mut self, now: u64) {
        let Some(failure) = &self.trouble.failed_instances else {
            return;
        };
        if now != LEAD_MS + failure.start {
            return;
        }
        let until = LEAD_MS + failure.end;
        for index in (0..self.instances.len()).step_by(10) {
            if let InstancePlace::Pool(Some(pool)) = self.instances[index].place {
                self.remove_worker(index, InstancePlace::Failed(Some(pool), until));
            }
        }
    }

    fn remove_worker(&mut self, index: usize, place: InstancePlace) {
        let instance = &mut self.instances[index];
        self.dispatcher.unlist_worker(&instance.worker_name());
        if let Some(key) = instance.key {
            self.dispatcher.note_unresponsive(key);
            self.indexes.remove(&key);
        }
        instance.stop_worker(place);
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

    fn answer_hold(&mut self, index: usize, now: u64) {
        let Some(key) = self.instances[index].key else {
            return;
        };
        let at = TimePoint::with_millis(now);
        self.dispatcher.note_extension(key, LEASE, at);
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
                    totals.in_time += value;
                } else if took <= job.objective_ms() * 3 {
                    totals.late += value;
                }
            }
            is_open
        });
    }

    fn scale(&mut self, now: u64) {
        let loads = self.dispatcher.pool_loads(TimePoint::with_millis(now));
        let mut states: BTreeMap<PoolName, PoolState> = BTreeMap::new();
        for number in 0..self.plan.pools.len() {
            let pool = pool_name(number);
            let load = loads.get(&pool).copied().unwrap_or_default();
            let members = self.instances.iter();
            let members = members.filter(|instance| instance.paid_pool() == Some(number));
            let state = PoolState {
                load,
                instances: members.count(),
                idle: self.idle_instances(Some(number)).len(),
            };
            states.insert(pool, state);
        }
        let fleet = FleetSize {
            spare: self.idle_instances(None).len(),
            total: self.plan.instances(),
            capacity: self.dispatcher.worker_capacity(),
        };
        for change in self.rule.decide(&states, fleet, now) {
            self.move_instances(&change, now);
        }
    }

    /// Instances of a pool that can move.
    fn idle_instances(&self, pool: Option<usize>) -> Vec<usize> {
        let indexes = 0..self.instances.len();
        let idle = indexes.filter(|&index| {
            let instance = &self.instances[index];
            instance.place == InstancePlace::Pool(pool) && self.is_idle(instance)
        });
        idle.collect()
    }

    fn is_idle(&self, instance: &SimInstance) -> bool {
        let worker: Option<InstanceName> = instance.key.map(|_| instance.worker_name());
        let name = instance.instance_name();
        self.dispatcher.is_instance_idle(&name, worker.as_ref()) == Some(true)
    }

    fn move_instances(&mut self, change: &SizeChange, now: u64) {
        let number = |pool: &PoolName| {
            let mut numbers = 0..self.plan.pools.len();
            numbers.find(|&number| pool_name(number) == *pool)
        };
        let from = change.from.as_ref().and_then(number);
        let to = change.to.as_ref().and_then(number);
        let idle = self.idle_instances(from);
        for index in idle.into_iter().take(change.count) {
            self.remove_worker(index, InstancePlace::Moving(to, now + MOVE_MS));
            if (LEAD_MS..LEAD_MS + DAY_MS).contains(&now) {
                self.totals.moves += 1.0;
            }
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
    fn count(&mut self, now: u64) {
        let seconds = STEP_MS as f64 / 1_000.0;
        let paid = self.instances.iter();
        let paid = paid
            .filter(|instance| instance.paid_pool().is_some())
            .count();
        self.totals.instance_seconds += paid as f64 * seconds;
        if !now.is_multiple_of(DECISION_MS) {
            return;
        }
        let seconds = DECISION_MS as f64 / 1_000.0;
        let loads = self.dispatcher.pool_loads(TimePoint::with_millis(now));
        for (load, pool) in loads.values().zip(&self.plan.pools) {
            self.totals.waited += load.waiting as f64 / 1_000.0 * seconds;
            let tasks = f64::from(pool.long_running);
            self.totals.long_running += tasks;
            let running = load.long_running as f64 / pool.long_running_cpu.max(1) as f64;
            self.totals.long_running_at_work += running.min(tasks);
        }
    }
}

/// Value of a job in core-seconds. It grows with its work, but a small job is worth more than its
/// share and a very large one less.
#[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
fn value(job: &SimJob, mean_work: f64) -> f64 {
    let size = job.work() as f64 / mean_work.max(1.0);
    mean_work * (0.3 + 0.7 * size).min(4.0) / 1e6
}
