//! A simulation of pools whose demand turns from one to the next, in virtual time.
//!
//! Work is a fluid: it arrives, waits for room, and runs for [`RUN_TIME`]. Instances move in whole
//! numbers, which takes [`MOVE_TIME`]. Some instances of each pool carry lasting tasks and stay.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::jobs::{PoolLoad, PoolState, SizeChange};
use sesamedeal_core::time::TimePoint;

/// Length of a step, in milliseconds.
pub const STEP_MS: u64 = 50;

/// Time that work runs, in steps.
const RUN_STEPS: usize = 20;

/// Time that an instance moves, in milliseconds.
const MOVE_MS: u64 = 1_500;

/// Time between two decisions, in milliseconds.
const DECISION_MS: u64 = 200;

/// Processor of an instance, in thousandths of a core.
pub const CAPACITY: u64 = 64_000;

/// A deployment and its day.
#[derive(Debug, Clone)]
pub struct TurnPlan {
    /// Instances of each pool at the beginning.
    pub pools: Vec<usize>,
    /// Instances of each pool that carry lasting tasks.
    pub hosts: usize,
    /// Instances in the spare pool at the beginning.
    pub spare: usize,
    /// Order in which the pools surge.
    pub order: Vec<usize>,
    /// Time from the begin of one surge to that of the next, in milliseconds.
    pub period_ms: u64,
    /// Length of a surge, which rises and falls, in milliseconds.
    pub surge_ms: u64,
    /// Processor that a surge keeps busy at its peak, in instances.
    pub surge_instances: f64,
    /// Jobs that come in a second at the peak of a surge.
    pub jobs_per_s: f64,
}

/// What a day has cost.
#[derive(Debug, Clone, Copy)]
pub struct DayCost {
    /// Mean time that work has waited for room.
    pub wait: Duration,
    /// Seconds of instances in pools.
    pub instance_seconds: f64,
    /// Moves of instances.
    pub moves: usize,
}

#[derive(Debug, Clone)]
struct SimPool {
    instances: usize,
    waiting: f64,
    running: VecDeque<f64>,
    /// Work that came in each step of the last second, and the number of its jobs.
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

    /// Lets a step pass in which `work` instances' worth of work comes.
    fn pass(&mut self, work: f64, jobs: usize) {
        self.recent.pop_front();
        self.recent.push_back((work, jobs));
        self.running.pop_front();
        self.waiting += work;
        #[expect(clippy::cast_precision_loss, reason = "instances are few")]
        let room = (self.instances as f64 - self.used()).max(0.0);
        let begun = self.waiting.min(room);
        self.waiting -= begun;
        self.running.push_back(begun);
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "instances are few and not negative"
    )]
    fn size(&self, hosts: usize, arriving: usize) -> PoolState {
        let millis = |instances: f64| (instances * CAPACITY as f64) as u64;
        let used = self.used();
        // Work of a second keeps as many thousandths of a core busy.
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
            instances: self.instances + arriving,
            idle: self.instances.saturating_sub(busy),
        }
    }
}

/// Steps of the shorter time over which arriving work is added up.
const RECENT_STEPS: usize = 8;

/// Instances on their way.
#[derive(Debug)]
struct SimMove {
    to: Option<usize>,
    arrives_ms: u64,
    count: usize,
}

/// Decides about the sizes: at a time, for the pools and the number of spare instances.
pub type SizeRule<'a> =
    &'a mut dyn FnMut(u64, &BTreeMap<PoolName, PoolState>, usize) -> Vec<SizeChange>;

pub fn pool(number: usize) -> PoolName {
    PoolName::new(format!("pool-{number}"))
}

/// Time of the simulation on the clock of the sizing.
pub fn at(ms: u64) -> TimePoint {
    TimePoint::with_millis(100_000 + ms)
}

/// Plays a day of one turn for each entry of the plan's order.
pub fn play(plan: &TurnPlan, seed: u64, decide: SizeRule<'_>) -> DayCost {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut pools: Vec<SimPool> = plan
        .pools
        .iter()
        .map(|&count| SimPool::new(count))
        .collect();
    let mut spare = plan.spare;
    let mut moves: Vec<SimMove> = Vec::new();
    let (mut waited, mut worked, mut paid, mut moved) = (0.0, 0.0, 0.0, 0);
    let step_s = 0.05;
    let turns = u64::try_from(plan.order.len()).unwrap();
    for now in (0..plan.period_ms * turns).step_by(usize::try_from(STEP_MS).unwrap()) {
        moves.retain(|entry| {
            let has_arrived = entry.arrives_ms <= now;
            match entry.to {
                Some(to) if has_arrived => pools[to].instances += entry.count,
                None if has_arrived => spare += entry.count,
                _ => {}
            }
            !has_arrived
        });
        let turn = usize::try_from(now / plan.period_ms).unwrap();
        let into = now % plan.period_ms;
        let is_surge = into < plan.surge_ms;
        #[expect(clippy::cast_precision_loss, reason = "times are short")]
        let height = (std::f64::consts::PI * into as f64 / plan.surge_ms.max(1) as f64).sin();
        for (number, entry) in pools.iter_mut().enumerate() {
            let is_on = is_surge && plan.order[turn] == number;
            let share = if is_on { height } else { 0.0125 };
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
            entry.pass(work, jobs);
            waited += entry.waiting * step_s;
            worked += work;
        }
        let on_the_way = moves.iter().map(|entry| entry.count).sum::<usize>();
        let present = pools.iter().map(|entry| entry.instances).sum::<usize>();
        #[expect(clippy::cast_precision_loss, reason = "instances are few")]
        let count = (present + on_the_way) as f64;
        paid += count * step_s;
        if !now.is_multiple_of(DECISION_MS) {
            continue;
        }
        let arriving = |number: usize| {
            let entries = moves.iter().filter(|entry| entry.to == Some(number));
            entries.map(|entry| entry.count).sum::<usize>()
        };
        let sizes: BTreeMap<PoolName, PoolState> = pools
            .iter()
            .enumerate()
            .map(|(number, entry)| (pool(number), entry.size(plan.hosts, arriving(number))))
            .collect();
        for change in decide(now, &sizes, spare) {
            let number =
                |name: &PoolName| (0..plan.pools.len()).find(|&number| pool(number) == *name);
            let count = match &change.from {
                Some(from) => {
                    let count = change.count.min(sizes[from].idle);
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
    DayCost {
        wait: Duration::from_secs_f64(waited / worked),
        instance_seconds: paid,
        moves: moved,
    }
}
