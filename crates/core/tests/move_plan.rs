//! Number, choice and balance of planned moves.

mod support;

use std::collections::BTreeMap;

use proptest::prelude::*;
use sesamedeal_core::fleet::{DayTime, FleetState, SheetItem, SheetRow};
use sesamedeal_core::fleet::{FleetChange, PoolRecord};
use sesamedeal_core::ids::PoolName;
use sesamedeal_core::moves::{DayDemand, PlanPolicy, count_row_by_row, plan_counts, plan_day};
use sesamedeal_core::sheet::{check_sheet, plan_sheet};
use support::flow::lowest_moves;
use support::fuzz::fuzz_config;
use support::{apply, fleet, pool, spare_pool};

fn demand(spare: Option<usize>, sizes: &[Vec<u32>]) -> DayDemand {
    let pools = sizes[0].len();
    let mut demand = DayDemand {
        pools: (0..pools)
            .map(|at| PoolName::new(format!("p{at}")))
            .collect(),
        spare,
        budgets: vec![2; pools],
        closing: vec![false; pools],
        steps: Vec::new(),
    };
    for (at, sizes) in (0..).zip(sizes) {
        demand.push_step(at * 3_600, sizes.clone());
    }
    demand
}

/// Days of up to 5 pools and 8 steps; the fleet holds the largest sum of sizes and a few more.
fn days() -> impl Strategy<Value = (Vec<Vec<u32>>, Vec<u32>)> {
    (2_usize..=5, 1_usize..=8).prop_flat_map(|(pools, steps)| {
        let sizes = prop::collection::vec(prop::collection::vec(0_u32..7, pools), steps);
        (sizes, prop::collection::vec(0_u32..7, pools), 0_u32..5).prop_map(
            |(sizes, mut counts, extra)| {
                let most = sizes
                    .iter()
                    .map(|step| step.iter().sum::<u32>())
                    .max()
                    .unwrap();
                let have: u32 = counts.iter().sum();
                counts[0] += (most + extra).saturating_sub(have);
                (sizes, counts)
            },
        )
    })
}

proptest! {
    #![proptest_config(fuzz_config(512))]

    /// Guards against a plan with more moves than needed, and one that misses a size.
    #[test]
    fn lowest_number((sizes, counts) in days(), has_spare in any::<bool>()) {
        let demand = demand(has_spare.then_some(0), &sizes);
        let plan = plan_counts(&demand, &counts);
        for (step, sizes) in plan.steps.iter().zip(&sizes) {
            prop_assert_eq!(step.counts.iter().sum::<u32>(), counts.iter().sum::<u32>());
            for (count, size) in step.counts.iter().zip(sizes) {
                prop_assert!(count >= size);
            }
            prop_assert_eq!(step.shortage, 0);
        }
        prop_assert_eq!(plan.move_count() as i64, lowest_moves(&demand, &counts));
    }
}

/// Guards against the oracle being wrong: a day whose lowest number is known.
#[test]
fn oracle_known() {
    // Two instances go from pool 0 to 1 and back, one more to 2: the two are needed on both
    // sides, so 2 + 2 + 1 moves cannot be avoided.
    let demand = demand(None, &[vec![4, 0, 0], vec![1, 2, 1], vec![3, 0, 1]]);
    assert_eq!(lowest_moves(&demand, &[4, 0, 0]), 5);
    assert_eq!(plan_counts(&demand, &[4, 0, 0]).move_count(), 5);
}

/// Guards against moves that a later row undoes although nobody needs the instances in between.
#[test]
fn nothing_undone() {
    let demand = demand(Some(0), &[vec![0, 5, 5], vec![0, 1, 5], vec![0, 5, 5]]);
    assert_eq!(plan_counts(&demand, &[2, 5, 5]).move_count(), 0);
    assert_eq!(count_row_by_row(&demand, &[2, 5, 5]), 8);
}

/// Guards against taking instances from pools while the spare pool has some above its reserve,
/// and against a reserve that is kept while a pool lacks instances.
#[test]
fn spare_first() {
    let first = demand(Some(0), &[vec![2, 4, 2]]);
    let moves = &plan_counts(&first, &[4, 3, 5]).steps[0].moves;
    assert_eq!((moves.len(), moves[0].from, moves[0].count), (1, 0, 1));
    let short = demand(Some(0), &[vec![3, 5, 0]]);
    let step = &plan_counts(&short, &[3, 3, 0]).steps[0];
    assert_eq!((step.counts.clone(), step.shortage), (vec![1, 5, 0], 0));
    let missing = demand(Some(0), &[vec![0, 9, 2]]);
    let step = &plan_counts(&missing, &[1, 3, 2]).steps[0];
    assert_eq!((step.counts.clone(), step.shortage), (vec![0, 4, 2], 5));
}

fn day_of(state: &mut FleetState, rows: Vec<SheetRow>) {
    let applied = DayTime::new(10, 0);
    apply(state, vec![FleetChange::PutSheet { rows, applied }]).unwrap();
}

fn pool_row(minute: u16, name: &str, pool: PoolRecord) -> SheetRow {
    let name = PoolName::new(name);
    SheetRow {
        minute,
        item: SheetItem::Pool { name, pool },
    }
}

/// Guards against moves that empty one zone or rack of a pool.
#[test]
fn zones_balanced() {
    let mut state = fleet(&[("a", 48, 4, 48), ("b", 16, 4, 16), ("spare", 0, 4, 0)]);
    day_of(
        &mut state,
        vec![
            pool_row(0, "a", pool(48, 4)),
            pool_row(60, "a", pool(28, 4)),
            pool_row(0, "b", pool(16, 4)),
            pool_row(60, "b", pool(36, 4)),
        ],
    );
    let plan = plan_day(&state, DayTime::new(10, 0), &PlanPolicy::default());
    let out: Vec<_> = plan
        .moves
        .iter()
        .filter(|one| one.from.as_str() == "a")
        .collect();
    assert_eq!(out.len(), 20);
    let (mut zones, mut racks) = (BTreeMap::new(), BTreeMap::new());
    for one in out {
        let instance = &state.instances[&one.instance];
        *zones.entry(&instance.zone).or_insert(0) += 1;
        *racks.entry(&instance.rack).or_insert(0) += 1;
    }
    assert!(
        zones.len() == 4 && zones.values().all(|&count| count == 5),
        "{zones:?}"
    );
    assert!(racks.values().all(|&count| count <= 2), "{racks:?}");
}

/// Guards against settings that do not change the plan: with weight on the buffer, instances
/// that nobody needs work in the pools instead of waiting in the spare pool.
#[test]
fn policies_differ() {
    let mut state = fleet(&[("a", 10, 2, 10), ("b", 20, 2, 20), ("spare", 2, 4, 8)]);
    day_of(&mut state, vec![pool_row(0, "spare", spare_pool(2, 4))]);
    let start = DayTime::new(10, 0);
    let trust = plan_day(&state, start, &PlanPolicy::with_short_rollout());
    let consorcio = plan_day(&state, start, &PlanPolicy::with_low_share_deviation());
    assert_eq!(trust.moves.len(), 0);
    assert_eq!(consorcio.moves.len(), 6);
    assert!(consorcio.measures.buffer_hours < trust.measures.buffer_hours / 2.0);
    let to_b = consorcio
        .moves
        .iter()
        .filter(|one| one.to.as_str() == "b")
        .count();
    assert_eq!(to_b, 4);
}

/// Guards against moves that begin only when the row is due although instances are free before.
#[test]
fn starts_ahead() {
    let mut state = fleet(&[("a", 4, 2, 4), ("spare", 0, 2, 8)]);
    day_of(
        &mut state,
        vec![pool_row(0, "a", pool(4, 2)), pool_row(60, "a", pool(12, 2))],
    );
    let plan = plan_day(
        &state,
        DayTime::new(10, 0),
        &PlanPolicy::with_short_rollout(),
    );
    // 8 instances leave in 4 rounds of 15 s.
    assert_eq!(plan.lead_seconds, 60);
    assert_eq!(plan.moves.len(), 8);
    assert!(plan.moves.iter().all(|one| one.second == 3_540));
    assert_eq!(plan.measures.rollout_seconds, 0.0);
}

/// Reports the planner's figures for the example sheets next to the row by row baseline.
#[test]
fn examples_lowest() {
    for (text, policy) in [
        (
            include_str!("../../../examples/trust.csv"),
            PlanPolicy::with_short_rollout(),
        ),
        (
            include_str!("../../../examples/consorcio.csv"),
            PlanPolicy::with_low_share_deviation(),
        ),
    ] {
        let sheet = check_sheet(text.as_bytes()).unwrap();
        let start = DayTime::new(1_000, 3_600);
        let empty = FleetState::default();
        let plan = plan_sheet(&empty, &sheet, start, &policy, false).unwrap();
        let mut sized = FleetState::default();
        apply(&mut sized, plan.changes).unwrap();
        let pools: Vec<(&str, u32, u32, u32)> = sized
            .pools
            .iter()
            .map(|(name, pool)| (name.as_str(), pool.size, pool.max_unavailable, pool.size))
            .collect();
        let state = fleet(&pools);
        let plan = plan_sheet(&state, &sheet, start, &policy, true).unwrap();
        let mut next = state.clone();
        apply(&mut next, plan.changes.clone()).unwrap();
        let demand = DayDemand::with_state(&next, start);
        let counts = demand.count_instances(&next);
        let lowest = lowest_moves(&demand, &counts);
        println!(
            "moves {} lowest {lowest} row by row {} measures {:?}",
            plan.day.moves.len(),
            plan.row_by_row_moves,
            plan.day.measures
        );
        assert_eq!(plan.day.moves.len() as i64, lowest);
        assert!(plan.row_by_row_moves > plan.day.moves.len() as u64);
    }
}
