//! Time that the plan of an overloaded pool adds to a planning round, with 2,000 waiting jobs of 12
//! tasks each on 50 full workers.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use sesamedeal_core::ids::{InstanceName, PoolName, QueueName, TeamName, ZoneName};
use sesamedeal_core::jobs::{
    DispatchPolicy, FleetRules, HoldReport, JobDispatcher, JobId, JobOrder, JobRecord, PoolRule,
    QueueRule, ResourceAmount, StepSpec, TeamRule, WorkerReport, WorkerState,
};
use sesamedeal_core::time::TimePoint;

const JOBS: u64 = 2_000;
const WORKERS: usize = 50;
const TEAMS: u64 = 20;

fn amount(cpu_millis: u64, memory_mb: u64) -> ResourceAmount {
    ResourceAmount {
        cpu_millis,
        memory_mb,
        accelerators: 0,
    }
}

fn rules() -> Arc<FleetRules> {
    let pool = PoolName::new("pool");
    let queue = QueueRule {
        pool: pool.clone(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        slack: Duration::from_millis(600),
        advice: None,
    };
    let team = |number| TeamName::new(format!("team-{number}"));
    let rule = TeamRule {
        weight: 1.0,
        limit: amount(400_000, 0),
    };
    Arc::new(FleetRules {
        version: 1,
        queues: HashMap::from([(QueueName::new("queue"), queue)]),
        pools: HashMap::from([(pool, PoolRule { is_spare: false })]),
        teams: (0..TEAMS).map(|number| (team(number), rule)).collect(),
    })
}

fn order(number: u64) -> JobOrder {
    let step = |after| StepSpec {
        count: 6,
        amount: amount(1_500 + number % 5 * 1_000, 100),
        estimate: Duration::from_millis(500 + number % 13 * 100),
        after,
        ..StepSpec::default()
    };
    JobOrder {
        queue: QueueName::new("queue"),
        team: Some(TeamName::new(format!("team-{}", number % TEAMS))),
        accepted_ms: 0,
        spec: CompactString::default(),
        steps: vec![step(Vec::new()), step(vec![0])],
        schedule: None,
        rules: None,
    }
}

fn dispatcher(defers_overload: bool, now: TimePoint) -> JobDispatcher {
    let policy = DispatchPolicy {
        defers_overload,
        ..DispatchPolicy::default()
    };
    let mut dispatcher = JobDispatcher::new(policy, rules(), 1, TimePoint::ORIGIN);
    for number in 0..WORKERS {
        let report = WorkerReport {
            name: InstanceName::new(format!("worker-{number}")),
            instance: None,
            pool: PoolName::new("pool"),
            address: "10.0.0.1:80".parse().expect("the address is valid"),
            zone: ZoneName::new("zone"),
            state: WorkerState::Ready,
            capacity: amount(16_000, 64_000),
            labels: Vec::new(),
            boot: 1,
            warm_up: Duration::ZERO,
        };
        let (key, _) = dispatcher.set_worker(report, now);
        let report = HoldReport {
            sent: now,
            clock_ms: 0,
            boot: 1,
            running: Vec::new(),
            ended: Vec::new(),
        };
        dispatcher.note_hold(key, &report, now);
    }
    for number in 0..JOBS {
        let id = JobId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        dispatcher.add_job(id, order(number), JobRecord::new(), false, now);
    }
    dispatcher
}

fn overload_cost(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("round_2000_jobs");
    // Without the plan, in a round in which the next plan is not due, and with the plan.
    for (name, is_deferring, step_ms) in [
        ("without", false, 50),
        ("not_due", true, 0),
        ("with", true, 50),
    ] {
        let begin = 20_000;
        let setup = || {
            let now = TimePoint::with_millis(begin);
            let mut dispatcher = dispatcher(is_deferring, now);
            dispatcher.plan(now, begin);
            dispatcher
        };
        println!("deferred: {}", setup().deferred_jobs().len());
        let next = begin + step_ms;
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            bencher.iter_batched_ref(
                setup,
                |dispatcher| dispatcher.plan(TimePoint::with_millis(next), next).len(),
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, overload_cost);
criterion_main!(benches);
