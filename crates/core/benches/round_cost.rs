//! Time for a planning round of the owner of stored jobs, for pools that are full and half free.

use std::collections::HashMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sesamedeal_core::ids::{InstanceName, PoolName, QueueName, TeamName, ZoneName};
use sesamedeal_core::jobs::{
    DispatchPolicy, FleetRules, HoldReport, JobDispatcher, JobId, JobOrder, JobRecord, PoolRule,
    QueueRule, ResourceAmount, RunReport, StartOutcome, StepName, StepSpec, TeamRule, WorkerOrder,
    WorkerReport, WorkerState,
};
use sesamedeal_core::time::TimePoint;

const WORKERS: [usize; 3] = [50, 400, 16_000];
const WAITING_STEPS: [usize; 2] = [50, 2_000];
const POOLS: usize = 5;
const TEAMS: usize = 20;
const WORKERS_PER_RACK: usize = 12;

/// Numbers of batch tasks that run on each worker of 16 cores, beside a long-running task of 2 cores.
/// They take 2 cores each, and the last one takes 1. A full worker has 1 core left, on which no waiting
/// task fits.
const BATCH_TASKS: [(&str, usize); 2] = [("full", 7), ("half", 3)];

const NOW: TimePoint = TimePoint::ORIGIN.after(Duration::from_secs(1));

fn amount(cpu_millis: u64, memory_mb: u64) -> ResourceAmount {
    ResourceAmount {
        cpu_millis,
        memory_mb,
        accelerators: 0,
    }
}

fn step(count: usize, cpu_millis: u64, after: Vec<u16>) -> StepSpec {
    StepSpec {
        count: u16::try_from(count).unwrap(),
        amount: amount(cpu_millis, 1_000),
        estimate: Duration::from_millis(800),
        after,
        ..StepSpec::default()
    }
}

fn order(number: usize, steps: Vec<StepSpec>) -> JobOrder {
    JobOrder {
        queue: QueueName::new(format!("queue-{}", number % POOLS)),
        team: Some(TeamName::new(format!("team-{}", number % TEAMS))),
        accepted_ms: 0,
        spec: CompactString::from(r#"{"kind":"bench","input":"0123456789abcdef"}"#),
        steps,
        schedule: None,
        rules: None,
    }
}

fn rules() -> Arc<FleetRules> {
    let queue = |pool: usize| QueueRule {
        pool: PoolName::new(format!("pool-{pool}")),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        slack: Duration::from_millis(600),
        advice: None,
    };
    let queues = (0..POOLS).map(|pool| (QueueName::new(format!("queue-{pool}")), queue(pool)));
    let pools = (0..POOLS).map(|pool| {
        let name = PoolName::new(format!("pool-{pool}"));
        (name, PoolRule { is_spare: false })
    });
    let teams = (0..TEAMS).map(|team| {
        let rule = TeamRule {
            weight: 1.0,
            limit: ResourceAmount::default(),
        };
        (TeamName::new(format!("team-{team}")), rule)
    });
    Arc::new(FleetRules {
        version: 1,
        queues: queues.collect(),
        pools: pools.collect(),
        teams: teams.collect::<HashMap<_, _>>(),
    })
}

fn worker(number: usize) -> WorkerReport {
    WorkerReport {
        name: InstanceName::new(format!("worker-{number}")),
        instance: Some(InstanceName::new(format!("instance-{number}"))),
        pool: PoolName::new(format!("pool-{}", number % POOLS)),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("zone"),
        state: WorkerState::Ready,
        capacity: amount(16_000, 64_000),
        labels: vec![
            CompactString::from("zone"),
            CompactString::from(format!("rack-{}", number / POOLS / WORKERS_PER_RACK)),
        ],
        boot: 1,
        warm_up: Duration::ZERO,
    }
}

fn add_job(dispatcher: &mut JobDispatcher, number: usize, order: JobOrder) -> JobId {
    let id = JobId(u64::try_from(number).unwrap());
    dispatcher.add_job(id, order, JobRecord::default(), false, TimePoint::ORIGIN);
    id
}

/// Creates a dispatcher whose workers run a long-running task and `batch` batch tasks each, and
/// whose jobs have one waiting step each.
fn fixture(workers: usize, steps: usize, batch: usize, rack: bool) -> JobDispatcher {
    let policy = DispatchPolicy::default();
    let mut dispatcher = JobDispatcher::new(policy, rules(), 1, TimePoint::ORIGIN);
    let in_pool = workers / POOLS;
    for pool in 0..POOLS {
        let lasting = StepSpec {
            is_lasting: true,
            disruption_budget: Some(1),
            ..step(in_pool, 2_000, Vec::new())
        };
        add_job(&mut dispatcher, pool, order(pool, vec![lasting]));
        let mut running = vec![step(in_pool * (batch - 1), 2_000, Vec::new())];
        running.push(step(in_pool, 1_000, Vec::new()));
        add_job(&mut dispatcher, pool + POOLS, order(pool, running));
    }
    for number in 0..workers {
        let (key, _) = dispatcher.set_worker(worker(number), TimePoint::ORIGIN);
        let run = |job: usize, step: u16, index: usize| RunReport {
            task: StepName {
                job: JobId(u64::try_from(job).unwrap()),
                occurrence: 0,
                step,
            }
            .task(u16::try_from(index).unwrap()),
            run: 1,
            saved: CompactString::default(),
            percent: if job < POOLS { 100.0 } else { 40.0 },
            gauge: None,
        };
        let (pool, index) = (number % POOLS, number / POOLS);
        let mut running = vec![run(pool, 0, index)];
        let tasks = index * (batch - 1)..(index + 1) * (batch - 1);
        running.extend(tasks.map(|task| run(pool + POOLS, 0, task)));
        running.push(run(pool + POOLS, 1, index));
        let report = HoldReport {
            sent: NOW,
            clock_ms: 0,
            boot: 1,
            running,
            ended: Vec::new(),
        };
        dispatcher.note_hold(key, &report, NOW);
    }
    for number in 0..steps {
        // Between 1.5 and 6.7 cores, as in the deployments.
        let cpu = 1_500 + u64::try_from(number * 731 % 5_200).unwrap();
        let mut first = step(8, cpu, Vec::new());
        let racks = in_pool.div_ceil(WORKERS_PER_RACK);
        first.data_rack = rack.then(|| CompactString::from(format!("rack-{}", number % racks)));
        let steps = vec![first, step(8, cpu, vec![0])];
        add_job(&mut dispatcher, number + 2 * POOLS, order(number, steps));
    }
    dispatcher
}

/// Time of a round. Its starts are refused afterwards, so that all rounds have the same input.
fn timed_round(dispatcher: &mut JobDispatcher) -> Duration {
    let started = Instant::now();
    let orders = black_box(dispatcher.plan(NOW, 1_000));
    let elapsed = started.elapsed();
    for order in orders {
        if let WorkerOrder::Start(key, order) = order {
            dispatcher.note_start(key, order.task, order.run, StartOutcome::Refused, NOW);
        }
    }
    elapsed
}

fn round_cost(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("round");
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(100));
    group.measurement_time(Duration::from_millis(500));
    for workers in WORKERS {
        for steps in WAITING_STEPS {
            for (name, batch) in BATCH_TASKS {
                for rack in [false, true] {
                    let suffix = if rack { "_rack" } else { "" };
                    let id =
                        BenchmarkId::new(format!("{name}{suffix}"), format!("{workers}x{steps}"));
                    group.bench_function(id, |bencher| {
                        let mut dispatcher = fixture(workers, steps, batch, rack);
                        bencher.iter_custom(|count| {
                            (0..count).map(|_| timed_round(&mut dispatcher)).sum()
                        });
                    });
                }
            }
        }
    }
    group.finish();
}

fn load_cost(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pool_loads");
    group.sample_size(10);
    group.warm_up_time(Duration::from_millis(100));
    group.measurement_time(Duration::from_millis(500));
    for workers in WORKERS {
        for steps in WAITING_STEPS {
            let dispatcher = fixture(workers, steps, 7, false);
            let id = BenchmarkId::from_parameter(format!("{workers}x{steps}"));
            group.bench_function(id, |bencher| {
                bencher.iter(|| black_box(dispatcher.pool_loads(NOW)));
            });
        }
    }
    group.finish();
}

criterion_group!(benches, round_cost, load_cost);
criterion_main!(benches);
