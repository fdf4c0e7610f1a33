//! Simulation, in virtual time, of pools among which demand surges rotate.
//!
//! Work is modelled as a continuous amount: it arrives, waits for free capacity, and runs for
//! [`RUN_STEPS`]. Whole instances move between pools, which takes [`MOVE_MS`]. Some instances of
//! each pool run long-running tasks and cannot move.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{PoolLoad, PoolState, SizeChange};
use sesamedeal_core::time::TimePoint;

/// Length of a simulation step, in milliseconds.
pub const STEP_MS: u64 = 50;

/// Run time of work, in steps.
const RUN_STEPS: usize = 20;

/// Time that an instance takes to move, in milliseconds.
const MOVE_MS: u64 = 1_500;

/// Interval between scaling decisions, in milliseconds.
const DECISION_MS: u64 = 200;

/// CPU of an instance, in thousandths of a core.
pub const CAPACITY: u64 = 64_000;

/// Deployment and its sequence of surges.
#[derive(Debug, Clone)]
pub struct SurgePlan {
    /// Initial number of instances of each pool.
    pub pools: Vec<usize>,
    /// Number of instances in each pool that run long-running tasks.
    pub hosts: usize,
    /// Initial number of instances in the spare pool.
    pub spare: usize,
    /// Indexes of the pools in the order in which they surge.
    pub order: Vec<usize>,
    /// Time between the starts of two surges, in milliseconds.
    pub period_ms: u64,
    /// Duration of a surge, from its rise to its fall, in milliseconds.
    pub surge_ms: u64,
    /// Number of instances that a surge keeps busy at its peak.
    pub surge_instances: f64,
    /// Jobs that arrive per second at the peak of a surge.
    pub jobs_per_s: f64,
}

/// Result of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct SimResult {
    /// Mean time that work waited for free capacity.
    pub wait: Duration,
    /// Sum of the time that instances were in pools or moving, in seconds.
    pub instance_seconds: f64,
    /// Number of moved instances.
    pub moves: usize,
}

#[derive(Debug, Clone)]
struct SimPool {
    instances: usize,
    waiting: f64,
    running: VecDeque<f64>,
    /// Work and number of jobs that arrived in each step of the last second.
    recent: VecDeque<(f64, usize)>,
}

impl SimPool {
    fn new(instances: usize) -> Self {
        Self {
            instances,
            waiting: 0.0,
            running: VecDeque::from(vec![0.0; RUN_STEPS]),
            recent: VecDeque::from(vec![(0.0, 0); RUN_STEPS]),
        }
    }

    fn used(&self) -> f64 {
        self.running.iter().sum()
    }

    /// Simulates a step in which work for `work` instances arrives.
    fn step(&mut self, work: f64, jobs: usize) {
        self.recent.pop_front();
        self.recent.push_back((work, jobs));
        self.running.pop_front();
        self.waiting += work;
        #[expect(clippy::cast_precision_loss, reason = "instances are few")]
        let room = (self.instances as f64 - self.used()).max(0.0);
        let started = self.waiting.min(room);
        self.waiting -= started;
        self.running.push_back(started);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "instances are few and not negative"
    )]
    fn state(&self, hosts: usize, incoming: usize) -> PoolState {
        let millis = |instances: f64| (instances * CAPACITY as f64) as u64;
        let used = self.used();
        // The work that arrives in a second, in core milliseconds, keeps as many thousandths of a
        // core busy.
        let load = PoolLoad {
            workers: self.instances,
            usable: self.instances,
            capacity: CAPACITY * self.instances as u64,
            batch: millis(used),
            waiting: millis(self.waiting),
            backlog: millis(self.waiting),
            arriving: millis(self.recent.iter().map(|(work, _)| work).sum()),
            arriving_now: millis(
                self.recent
                    .iter()
                    .rev()
                    .take(RECENT_STEPS)
                    .map(|(work, _)| work)
                    .sum::<f64>()
                    * 2.5,
            ),
            arrivals: self.recent.iter().map(|(_, jobs)| jobs).sum(),
            ..PoolLoad::default()
        };
        let busy = (used.ceil() as usize).max(hosts);
        PoolState {
            load,
            instances: self.instances + incoming,
            idle: self.instances.saturating_sub(busy),
        }
    }
}

/// Length of the shorter window over which arriving work is summed, in steps.
const RECENT_STEPS: usize = 8;

/// Instances that are moving.
#[derive(Debug)]
struct SimMove {
    to: Option<usize>,
    arrives_ms: u64,
    count: usize,
}

/// Scaling decision for a time in milliseconds, the pools' states and the number of spare
/// instances.
pub type ScalingRule<'a> =
    &'a mut dyn FnMut(u64, &BTreeMap<PoolName, PoolState>, usize) -> Vec<SizeChange>;

pub fn pool(number: usize) -> PoolName {
    PoolName::new(format!("pool-{number}"))
}

/// Converts a simulation time in milliseconds to a time point of the planner.
pub fn at(ms: u64) -> TimePoint {
    TimePoint::with_millis(100_000 + ms)
}

/// Simulates one surge for each entry of the plan's order.
pub fn simulate(plan: &SurgePlan, seed: u64, decide: ScalingRule<'_>) -> SimResult {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut pools: Vec<SimPool> = plan
        .pools
        .iter()
        .map(|&count| SimPool::new(count))
        .collect();
    let mut spare = plan.spare;
    let mut moves: Vec<SimMove> = Vec::new();
    let (mut waited, mut worked, mut total_seconds, mut moved) = (0.0, 0.0, 0.0, 0);
    let step_s = 0.05;
    let surges = u64::try_from(plan.order.len()).unwrap();
    for now in (0..plan.period_ms * surges).step_by(usize::try_from(STEP_MS).unwrap()) {
        moves.retain(|entry| {
            let has_arrived = entry.arrives_ms <= now;
            match entry.to {
                Some(to) if has_arrived => pools[to].instances += entry.count,
                None if has_arrived => spare += entry.count,
                _ => {}
            }
            !has_arrived
        });
        let surge = usize::try_from(now / plan.period_ms).unwrap();
        let elapsed = now % plan.period_ms;
        let is_surge = elapsed < plan.surge_ms;
        #[expect(clippy::cast_precision_loss, reason = "times are short")]
        let height = (std::f64::consts::PI * elapsed as f64 / plan.surge_ms.max(1) as f64).sin();
        for (number, entry) in pools.iter_mut().enumerate() {
            let is_surging = is_surge && plan.order[surge] == number;
            let share = if is_surging { height } else { 0.0125 };
            let chance = plan.jobs_per_s * share * step_s;
            let mut jobs = chance.floor();
            if random.random::<f64>() < chance - jobs {
                jobs += 1.0;
            }
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "jobs are few and not negative"
            )]
            let jobs = jobs as usize;
            let mut work = 0.0;
            for _ in 0..jobs {
                work += random.random_range(0.2..1.8) * plan.surge_instances / plan.jobs_per_s;
            }
            entry.step(work, jobs);
            waited += entry.waiting * step_s;
            worked += work;
        }
        let moving = moves.iter().map(|entry| entry.count).sum::<usize>();
        let present = pools.iter().map(|entry| entry.instances).sum::<usize>();
        #[expect(clippy::cast_precision_loss, reason = "instances are few")]
        let count = (present + moving) as f64;
        total_seconds += count * step_s;
        if !now.is_multiple_of(DECISION_MS) {
            continue;
        }
        let incoming = |number: usize| {
            let entries = moves.iter().filter(|entry| entry.to == Some(number));
            entries.map(|entry| entry.count).sum::<usize>()
        };
        let states: BTreeMap<PoolName, PoolState> = pools
            .iter()
            .enumerate()
            .map(|(number, entry)| (pool(number), entry.state(plan.hosts, incoming(number))))
            .collect();
        for change in decide(now, &states, spare) {
            let number =
                |name: &PoolName| (0..plan.pools.len()).find(|&number| pool(number) == *name);
            let count = match &change.from {
                Some(from) => {
                    let count = change.count.min(states[from].idle);
                    pools[number(from).unwrap()].instances -= count;
                    count
                }
                None => {
                    let count = change.count.min(spare);
                    spare -= count;
                    count
                }
            };
            moved += count;
            moves.push(SimMove {
                to: change.to.as_ref().and_then(number),
                arrives_ms: now + MOVE_MS,
                count,
            });
        }
    }
    SimResult {
        wait: Duration::from_secs_f64(waited / worked),
        instance_seconds: total_seconds,
        moves: moved,
    }
}
