//! Time for planning a day, for a step of the controller and for applying a change record, with 50,
//! 800 and 16,000 instances.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sesamedeal_core::control::{ControlInput, ControlPolicy, Controller, LogExtent};
use sesamedeal_core::fleet::{
    ChangeRecord, DayTime, FleetChange, FleetState, InstanceRecord, InstanceState, PoolRecord,
    SheetItem, SheetRow,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, OperationId, PoolName, RackName, ZoneName,
};
use sesamedeal_core::membership::{EntryRole, ListState, ListedInstance};
use sesamedeal_core::moves::{DayDemand, PlanPolicy, count_row_by_row, plan_day};
use sesamedeal_core::time::TimePoint;

/// Numbers of instances and pools; the last pool is the spare pool.
const CASES: [(u32, u32); 3] = [(50, 5), (800, 12), (16_000, 52)];
/// Rows per pool and day, one each hour.
const ROWS_PER_POOL: u16 = 24;
const START: DayTime = DayTime::new(1_000, 0);

fn apply(state: &mut FleetState, changes: Vec<FleetChange>) {
    let record = ChangeRecord {
        generation: state.generation.next(),
        operation: OperationId(1),
        author: "bench".into(),
        changes,
    };
    state.apply(&record).expect("the fixture is valid");
}

fn pool_name(pool: u32) -> PoolName {
    PoolName::new(format!("pool-{pool:02}"))
}

fn instance_name(number: u32) -> InstanceName {
    InstanceName::new(format!("i-{number:05}"))
}

/// Returns the sizes of the pools in one hour: random weights, scaled to 15/16 of the instances.
/// The spare pool has no reserve.
fn hour_sizes(instances: u32, pools: u32, rng: &mut Pcg64Mcg) -> Vec<u32> {
    let mut weights: Vec<u32> = (0..pools).map(|_| rng.random_range(2..8)).collect();
    weights[pools as usize - 1] = 0;
    let sum: u32 = weights.iter().sum();
    weights
        .iter()
        .map(|weight| weight * (instances - instances / 16) / sum)
        .collect()
}

/// Creates a fleet that is spread evenly over its pools, and a sheet with random sizes each hour.
fn fixture(instances: u32, pools: u32) -> FleetState {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut state = FleetState::default();
    let mut changes = Vec::new();
    let mut rows = Vec::new();
    for hour in 0..ROWS_PER_POOL {
        for (pool, size) in (0..pools).zip(hour_sizes(instances, pools, &mut rng)) {
            let record = PoolRecord {
                size,
                max_unavailable: (instances / pools / 10).max(1),
                spare: pool + 1 == pools,
            };
            let name = pool_name(pool);
            if hour == 0 {
                changes.push(FleetChange::PutPool {
                    name: name.clone(),
                    pool: record.clone(),
                });
            }
            let item = SheetItem::Pool { name, pool: record };
            rows.push(SheetRow {
                minute: hour * 60,
                item,
            });
        }
    }
    for number in 0..instances {
        changes.push(FleetChange::PutInstance {
            name: instance_name(number),
            instance: InstanceRecord {
                pool: pool_name(number % pools),
                state: InstanceState::Active,
                address: format!("10.0.{}.{}:80", number / 250, number % 250).into(),
                zone: ZoneName::new(format!("z{:02}", number / 4 % 11)),
                rack: RackName::new(format!("r{:04}", number / 4)),
                image: ImageName::new("v1"),
                cores: 64,
                memory_mb: 131_072,
                slots: 8,
                boot: 1,
                since: Generation::ZERO,
                maintained: 999,
            },
        });
    }
    apply(&mut state, changes);
    let applied = START;
    apply(&mut state, vec![FleetChange::PutSheet { rows, applied }]);
    state
}

fn listed(state: &FleetState) -> Vec<ListedInstance> {
    state
        .instances
        .iter()
        .map(|(name, instance)| ListedInstance {
            name: name.clone(),
            role: EntryRole::Backend,
            address: instance.address.clone(),
            zone: instance.zone.clone(),
            rack: instance.rack.clone(),
            image: instance.image.clone(),
            state: ListState::Live,
            boot: instance.boot,
            cores: instance.cores,
            memory_mb: instance.memory_mb,
            slots: instance.slots,
        })
        .collect()
}

fn plan_cost(criterion: &mut Criterion) {
    let policy = PlanPolicy::with_short_rollout();
    let mut group = criterion.benchmark_group("plan_cost");
    group.sample_size(10);
    for (instances, pools) in CASES {
        let state = fixture(instances, pools);
        let demand = DayDemand::with_state(&state, START);
        let counts = demand.count_instances(&state);
        let plan = plan_day(&state, START, &policy);
        println!(
            "{instances} instances, {pools} pools: {} moves planned, {} row by row",
            plan.measures.moves,
            count_row_by_row(&demand, &counts)
        );
        group.bench_function(BenchmarkId::new("plan_day", instances), |bencher| {
            bencher.iter(|| black_box(plan_day(&state, START, &policy)));
        });
        let list = listed(&state);
        group.bench_function(BenchmarkId::new("step", instances), |bencher| {
            let mut controller = Controller::new(ControlPolicy::new());
            bencher.iter(|| {
                black_box(controller.step(ControlInput {
                    now: TimePoint::ORIGIN,
                    day_time: START,
                    state: &state,
                    settled: Generation::ZERO,
                    sessions: &[],
                    is_scanned: true,
                    list: Some(&list),
                    health: &[],
                    log: LogExtent::default(),
                }))
            });
        });
        group.bench_function(BenchmarkId::new("apply", instances), |bencher| {
            let mut state = state.clone();
            bencher.iter(|| {
                for next in [InstanceState::Draining, InstanceState::Active] {
                    let change = FleetChange::SetInstanceState {
                        name: instance_name(0),
                        state: next,
                    };
                    apply(&mut state, vec![change]);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, plan_cost);
criterion_main!(benches);
