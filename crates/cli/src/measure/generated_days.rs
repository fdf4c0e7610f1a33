use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use sesamedeal_core::fleet::{DayTime, FleetChange, FleetState, PoolRecord, SheetItem, SheetRow};
use sesamedeal_core::fleet::{InstanceRecord, InstanceState};
use sesamedeal_core::ids::{Generation, ImageName, InstanceName, PoolName, RackName, ZoneName};
use sesamedeal_core::moves::{DayDemand, count_row_by_row, plan_day};

use super::lower_bound::lowest_moves;
use super::user_profile::{UserProfile, apply};
use crate::error::Result;

/// Pools of a generated day without the spare pool.
const POOLS: u32 = 4;

/// Instances of a generated day.
const INSTANCES: u32 = 50;

/// Reserve of the spare pool.
const RESERVE: u32 = 4;

/// Moves over generated days.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct GeneratedDays {
    /// Days planned.
    pub days: u32,
    /// Moves planned.
    pub moves: u64,
    /// Lowest number of moves that any plan needs.
    pub lowest_moves: u64,
    /// Moves when the rows are applied one by one.
    pub row_by_row_moves: u64,
    /// Seeds of the days that were planned with more moves than needed.
    pub seeds_above: Vec<u64>,
}

/// Plans days with random sizes from successive seeds.
pub(super) fn plan_days(profile: &UserProfile, days: u32, seed: u64) -> Result<GeneratedDays> {
    let mut result = GeneratedDays::default();
    for seed in (0..u64::from(days)).map(|offset| seed.wrapping_add(offset)) {
        let state = generate(seed)?;
        let start = DayTime::new(1_000, 0);
        let demand = DayDemand::with_state(&state, start);
        let counts = demand.count_instances(&state);
        let moves = plan_day(&state, start, &profile.policy).measures.moves;
        let lowest = lowest_moves(&demand, &counts);
        result.days += 1;
        result.moves += moves;
        result.lowest_moves += lowest;
        result.row_by_row_moves += count_row_by_row(&demand, &counts);
        if moves > lowest {
            result.seeds_above.push(seed);
        }
    }
    Ok(result)
}

/// Fleet with random sizes of the pools at five times of the day.
fn generate(seed: u64) -> Result<FleetState> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut state = FleetState::default();
    let mut changes = Vec::new();
    let mut rows = Vec::new();
    for (number, minute) in [0, 390, 600, 1_080, 1_320].into_iter().enumerate() {
        let weights: Vec<u32> = (0..POOLS).map(|_| rng.random_range(2..8)).collect();
        let sum: u32 = weights.iter().sum();
        for pool in 0..=POOLS {
            let size = weights
                .get(pool as usize)
                .map_or(RESERVE, |weight| weight * (INSTANCES - RESERVE) / sum);
            let record = PoolRecord {
                size,
                max_unavailable: 2,
                spare: pool == POOLS,
            };
            let name = PoolName::new(format!("pool-{pool}"));
            if number == 0 {
                changes.push(FleetChange::PutPool {
                    name: name.clone(),
                    pool: record.clone(),
                });
            }
            let item = SheetItem::Pool { name, pool: record };
            rows.push(SheetRow { minute, item });
        }
    }
    for number in 0..INSTANCES {
        let pool = rng.random_range(0..=POOLS);
        changes.push(FleetChange::PutInstance {
            name: InstanceName::new(format!("i{number:03}")),
            instance: InstanceRecord {
                pool: PoolName::new(format!("pool-{pool}")),
                state: InstanceState::Active,
                address: format!("10.0.0.{number}:80").into(),
                zone: ZoneName::new(format!("z{}", number / 4 % 4)),
                rack: RackName::new(format!("r{}", number / 4)),
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
    apply(&mut state, changes)?;
    let applied = DayTime::new(1_000, 0);
    apply(&mut state, vec![FleetChange::PutSheet { rows, applied }])?;
    Ok(state)
}
