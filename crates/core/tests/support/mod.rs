//! Fixtures shared by the tests.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

pub mod budget;
pub mod flow;
pub mod fuzz;
pub mod race;
pub mod world;

use sesamedeal_core::fleet::{
    ApplyError, ChangeRecord, FleetChange, FleetState, InstanceRecord, InstanceState, PoolRecord,
};
use sesamedeal_core::ids::{
    Generation, ImageName, InstanceName, OperationId, PoolName, RackName, ZoneName,
};

/// Instances per rack.
pub const RACK_SIZE: u32 = 4;

pub fn pool(size: u32, max_unavailable: u32) -> PoolRecord {
    PoolRecord {
        size,
        max_unavailable,
        spare: false,
    }
}

pub fn spare_pool(size: u32, max_unavailable: u32) -> PoolRecord {
    PoolRecord {
        spare: true,
        ..pool(size, max_unavailable)
    }
}

/// Active instance number `number`, spread over four zones and racks of four.
pub fn instance(pool: &str, number: u32) -> InstanceRecord {
    let zone = number / RACK_SIZE % 4;
    InstanceRecord {
        pool: PoolName::new(pool),
        state: InstanceState::Active,
        address: format!("10.0.{}.{}:80", number / 250, number % 250).into(),
        zone: ZoneName::new(format!("z{zone}")),
        rack: RackName::new(format!("r{}", number / RACK_SIZE)),
        image: ImageName::new("v1"),
        cores: 64,
        memory_mb: 131_072,
        slots: 8,
        boot: 1,
        since: Generation::ZERO,
        maintained: 0,
    }
}

pub fn name(number: u32) -> InstanceName {
    InstanceName::new(format!("i{number:05}"))
}

/// Change record with the generation that follows the one of `state`.
pub fn record(state: &FleetState, changes: Vec<FleetChange>) -> ChangeRecord {
    ChangeRecord {
        generation: state.generation.next(),
        operation: OperationId(u128::from(state.generation.0)),
        author: "test".into(),
        changes,
    }
}

pub fn apply(state: &mut FleetState, changes: Vec<FleetChange>) -> Result<(), ApplyError> {
    state.apply(&record(state, changes))
}

/// State with the pools `(name, size, availability budget, instances)`. The pool named `spare` is
/// the spare pool.
pub fn fleet(pools: &[(&str, u32, u32, u32)]) -> FleetState {
    let mut state = FleetState::default();
    let mut changes = Vec::new();
    let mut number = 0;
    for &(pool_name, size, budget, count) in pools {
        let record = if pool_name == "spare" {
            spare_pool(size, budget)
        } else {
            pool(size, budget)
        };
        changes.push(FleetChange::PutPool {
            name: PoolName::new(pool_name),
            pool: record,
        });
        for _ in 0..count {
            changes.push(FleetChange::PutInstance {
                name: name(number),
                instance: instance(pool_name, number),
            });
            number += 1;
        }
    }
    apply(&mut state, changes).expect("the fixture is valid");
    state
}

pub fn set_state(number: u32, state: InstanceState) -> FleetChange {
    FleetChange::SetInstanceState {
        name: name(number),
        state,
    }
}

pub fn moving(number: u32, target: &str) -> FleetChange {
    let target = PoolName::new(target);
    set_state(number, InstanceState::Moving { target })
}
