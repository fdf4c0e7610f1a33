//! Cost of a scheduling decision (submission, dispatch and end of one job) and of applying a fleet
//! state, at three fleet sizes.
//!
//! - `free`: most slots are free. The scheduler owns all units, so it chooses from the maximum
//!   number of workers.
//! - `shared`: all slots of the scheduler are in use and all teams are backlogged. The fleet has as
//!   many entry instances as the size specifies.
//! - `full`: as `shared`, but with a single entry instance, which holds all tasks of the fleet.
//! - `apply`: the state of one instance changes.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sesamedeal_core::fleet::{
    FleetState, InstanceRecord, InstanceState, KeyRecord, PoolRecord, SessionView, TeamRecord,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, KeyId, PoolName, RackName, RequestId, SessionId, TeamName,
    ZoneName,
};
use sesamedeal_core::scheduler::{
    AttemptKey, AttemptOutcome, JobScheduler, JobSpec, SchedulerAction, SchedulerPolicy,
};
use sesamedeal_core::time::TimePoint;

/// Workers, pools, teams and entry instances of the current, an intermediate and the target size.
const SIZES: [(usize, usize, usize, usize); 3] =
    [(50, 5, 6, 8), (800, 20, 60, 20), (16_000, 52, 300, 400)];

/// Number of jobs that run throughout the `free` measurement.
const RUNNING: usize = 200;

/// Number of job specifications that are created at a time, outside the measured time.
const BATCH: usize = 100;

/// Simulated time between two decisions.
const STEP: Duration = Duration::from_micros(20);

fn fleet(workers: usize, pools: usize, teams: usize, sessions: usize) -> FleetState {
    let mut state = FleetState::with_view(
        Generation(1),
        SessionView::new((1..=sessions as u64).map(SessionId).collect()),
    );
    for pool in 0..pools {
        let record = PoolRecord {
            size: 1,
            max_unavailable: 1,
            spare: false,
        };
        state
            .pools
            .insert(PoolName::new(format!("pool-{pool}")), record);
    }
    for worker in 0..workers {
        let record = InstanceRecord {
            pool: PoolName::new(format!("pool-{}", worker % pools)),
            state: InstanceState::Active,
            address: format!("10.0.{}.{}:80", worker / 250, worker % 250).into(),
            zone: ZoneName::new("zone-1"),
            rack: RackName::new("rack-1"),
            image: ImageName::new("image-1"),
            cores: 64,
            memory_mb: 128_000,
            slots: 8,
            boot: 1,
            since: Generation::ZERO,
            maintained: 0,
        };
        let name = InstanceName::new(format!("worker-{worker}"));
        state.instances.insert(name, record);
    }
    for team in 0..teams {
        let name = TeamName::new(format!("team-{team}"));
        let record = TeamRecord {
            share: 1,
            limit: 1_000_000,
        };
        state.teams.insert(name.clone(), record);
        let key = KeyRecord {
            team: name,
            hash: [0; 32],
            withdrawn: false,
        };
        state.keys.insert(KeyId::new(format!("key-{team}")), key);
    }
    state
}

/// A scheduler with a steady load.
struct SteadyLoad {
    scheduler: JobScheduler,
    specs: Vec<JobSpec>,
    turn: usize,
    now: TimePoint,
    running: VecDeque<AttemptKey>,
}

impl SteadyLoad {
    fn new((workers, pools, teams, sessions): (usize, usize, usize, usize), full: bool) -> Self {
        let state = fleet(workers, pools, teams, sessions);
        let mut policy = SchedulerPolicy::new();
        policy.max_queued = 1_000_000;
        let mut scheduler = JobScheduler::new(SessionId(1), policy, 7);
        scheduler.apply(&state, Generation(1), TimePoint::ORIGIN);
        // The factor 7 is coprime to all numbers of pools, so all pairs of pool and team occur.
        let specs = (0..pools * teams)
            .map(|number| JobSpec {
                request: RequestId::new("request"),
                team: TeamName::new(format!("team-{}", number / pools)),
                key: Some(KeyId::new(format!("key-{}", number / pools))),
                pool: PoolName::new(format!("pool-{}", number * 7 % pools)),
                cores: 1,
                memory_mb: 100,
                run: Duration::from_millis(100),
                urgent: false,
                idempotent: true,
                deadline: TimePoint::ORIGIN.after(Duration::from_secs(1_000_000)),
            })
            .collect();
        let mut load = Self {
            scheduler,
            specs,
            turn: 0,
            now: TimePoint::ORIGIN,
            running: VecDeque::new(),
        };
        if full {
            for _ in 0..workers * 8 / sessions + pools * teams * 4 {
                let spec = load.next_spec();
                load.submit(spec);
            }
        } else {
            for _ in 0..RUNNING {
                let spec = load.next_spec();
                load.submit(spec);
            }
        }
        load
    }

    fn next_spec(&mut self) -> JobSpec {
        self.turn += 1;
        self.specs[self.turn % self.specs.len()].clone()
    }

    fn submit(&mut self, spec: JobSpec) {
        self.scheduler
            .submit(spec, self.now)
            .expect("the queue has room");
        self.drain();
    }

    fn drain(&mut self) {
        while let Some(action) = self.scheduler.next_action(self.now) {
            if let SchedulerAction::Dispatch(order) = black_box(action) {
                self.running.push_back(order.attempt);
            }
        }
    }

    /// One decision: a job is submitted, another one ends, and one is dispatched.
    fn decide(&mut self, spec: JobSpec) {
        self.now = self.now.after(STEP);
        self.submit(spec);
        if let Some(attempt) = self.running.pop_front() {
            let outcome = self
                .scheduler
                .finish(attempt, AttemptOutcome::Answered, self.now);
            black_box(outcome);
            self.drain();
        }
    }
}

fn decision_cost(criterion: &mut Criterion) {
    for (name, full, shared) in [
        ("free", false, false),
        ("shared", true, true),
        ("full", true, false),
    ] {
        let mut group = criterion.benchmark_group(name);
        for size in SIZES {
            let sessions = if shared { size.3 } else { 1 };
            let mut load = SteadyLoad::new((size.0, size.1, size.2, sessions), full);
            group.bench_function(BenchmarkId::from_parameter(size.0), |bencher| {
                bencher.iter_custom(|count| {
                    let mut spent = Duration::ZERO;
                    for first in (0..count).step_by(BATCH) {
                        let batch = (count - first).min(BATCH as u64);
                        let specs: Vec<JobSpec> = (0..batch).map(|_| load.next_spec()).collect();
                        let start = Instant::now();
                        for spec in specs {
                            load.decide(spec);
                        }
                        spent += start.elapsed();
                    }
                    spent
                });
            });
        }
        group.finish();
    }
    let mut group = criterion.benchmark_group("apply");
    for (workers, pools, teams, _) in SIZES {
        let mut state = fleet(workers, pools, teams, 1);
        let policy = SchedulerPolicy::new();
        let mut scheduler = JobScheduler::new(SessionId(1), policy, 7);
        scheduler.apply(&state, Generation(1), TimePoint::ORIGIN);
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter_custom(|count| {
                let mut spent = Duration::ZERO;
                for turn in 0..count {
                    state.generation = state.generation.next();
                    let name = InstanceName::new(format!("worker-{}", turn % 50));
                    if let Some(instance) = state.instances.get_mut(&name) {
                        instance.state = if instance.state.is_active() {
                            InstanceState::Draining
                        } else {
                            InstanceState::Active
                        };
                    }
                    let start = Instant::now();
                    scheduler.apply(&state, state.generation, TimePoint::ORIGIN);
                    spent += start.elapsed();
                }
                spent
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decision_cost);
criterion_main!(benches);
