//! Cost of what an entry instance does for each change, and of reading the platform's list, at
//! 50, 800 and 16,000 instances.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sesamedeal_core::fleet::{
    ChangeRecord, FleetChange, FleetState, InstanceRecord, InstanceState, PoolRecord, SessionView,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, OperationId, PoolName, RackName, SessionId, ZoneName,
};
use sesamedeal_store::protocol::{InstanceList, ListedState, PlatformInstance};
use sesamedeal_wire::codec::encode;

/// Instances and pools.
const SIZES: [(u32, u32); 3] = [(50, 5), (800, 12), (16_000, 52)];

/// Largest state that is encoded.
const LIMIT: usize = 64 * 1024 * 1024;

fn instance(number: u32, pools: u32) -> InstanceRecord {
    InstanceRecord {
        pool: PoolName::new(format!("pool-{:02}", number % pools)),
        state: InstanceState::Active,
        address: format!("10.0.{}.{}:80", number / 250, number % 250).into(),
        zone: ZoneName::new(format!("zone-{:02}", number / 4 % 11)),
        rack: RackName::new(format!("rack-{:04}", number / 4)),
        image: ImageName::new("image-1"),
        cores: 64,
        memory_mb: 131_072,
        slots: 8,
        boot: 1,
        since: Generation::ZERO,
        maintained: 999,
    }
}

fn fleet(instances: u32, pools: u32) -> FleetState {
    let view = SessionView::new((1..=8).map(SessionId).collect());
    let mut state = FleetState::with_view(Generation(1), view);
    for number in 0..pools {
        let pool = PoolRecord {
            size: instances / pools,
            max_unavailable: 2,
            spare: false,
        };
        let name = PoolName::new(format!("pool-{number:02}"));
        state.pools.insert(name, pool);
    }
    for number in 0..instances {
        let name = InstanceName::new(format!("worker-{number:05}"));
        state.instances.insert(name, instance(number, pools));
    }
    state
}

fn list(state: &FleetState) -> InstanceList {
    let instances = state.instances.iter();
    let listed = instances.map(|(name, instance)| PlatformInstance {
        name: name.clone(),
        entry: false,
        address: instance.address.clone(),
        zone: instance.zone.clone(),
        rack: instance.rack.clone(),
        image: instance.image.clone(),
        state: ListedState::Live,
        boot: instance.boot,
        cores: instance.cores,
        memory_mb: instance.memory_mb,
        slots: instance.slots,
    });
    InstanceList {
        instances: listed.collect(),
    }
}

fn control_cost(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("control_cost");
    group.sample_size(10);
    for (instances, pools) in SIZES {
        let mut state = fleet(instances, pools);
        let mut is_draining = false;
        // As the entry instance does it: a copy of the state takes the record and replaces it.
        group.bench_function(BenchmarkId::new("copy_apply", instances), |bencher| {
            bencher.iter(|| {
                is_draining = !is_draining;
                let next = if is_draining {
                    InstanceState::Draining
                } else {
                    InstanceState::Active
                };
                let mut copy = state.clone();
                let record = ChangeRecord {
                    generation: state.generation.next(),
                    operation: OperationId(1),
                    author: "bench".into(),
                    changes: vec![FleetChange::SetInstanceState {
                        name: InstanceName::new("worker-00000"),
                        state: next,
                    }],
                };
                copy.apply(&record).expect("the change is allowed");
                state = copy;
            });
        });
        let text = serde_json::to_vec(&list(&state)).expect("list");
        println!("list of {instances} instances: {} B in JSON", text.len());
        group.bench_function(BenchmarkId::new("list_decode", instances), |bencher| {
            bencher.iter(|| {
                let list: InstanceList = serde_json::from_slice(&text).expect("list");
                black_box(list)
            });
        });
        group.bench_function(BenchmarkId::new("state_encode", instances), |bencher| {
            bencher.iter(|| black_box(encode(&state, LIMIT).expect("state")));
        });
    }
    group.finish();
}

criterion_group!(benches, control_cost);
criterion_main!(benches);
